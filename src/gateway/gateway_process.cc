#include "tarragon/gateway/gateway_process.h"

#include <fmt/format.h>
#include <unistd.h>

#include <algorithm>
#include <asio/executor_work_guard.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/post.hpp>
#include <asio/signal_set.hpp>
#include <asio/steady_timer.hpp>
#include <chrono>
#include <csignal>
#include <exception>
#include <iterator>
#include <random>
#include <ranges>
#include <string>
#include <utility>
#include <vector>

#include "tarragon/base/hash.h"
#include "tarragon/base/metrics.h"
#include "tarragon/gateway/caller_connection.h"
#include "tarragon/gateway/config_updater.h"
#include "tarragon/gateway/daemon_table.h"
#include "tarragon/gateway/endpoint_updater.h"
#include "tarragon/gateway/event_log.h"
#include "tarragon/gateway/gateway_state.h"
#include "tarragon/gateway/load_gossip.h"
#include "tarragon/gateway/load_relay.h"
#include "tarragon/gateway/origin_table.h"
#include "tarragon/gateway/path_monitor.h"
#include "tarragon/gateway/quarantine_table.h"
#include "tarragon/gateway/readiness_log.h"
#include "tarragon/gateway/relay_node.h"
#include "tarragon/gateway/request_handler.h"
#include "tarragon/gateway/status_server.h"
#include "tarragon/gateway/store_connections.h"
#include "tarragon/gateway/table_replica.h"
#include "tarragon/gateway/table_watcher.h"
#include "tarragon/gateway/tunnel_server.h"

namespace tarragon::gateway {

namespace {

constexpr int kOk = 200;
constexpr int kNotFound = 404;
constexpr int kUnavailable = 503;

/** Positions in the tables of the relay; part of the relay's messages. */
constexpr std::size_t kConfigTable = 0;
constexpr std::size_t kEndpointTable = 1;
constexpr std::size_t kDaemonTable = 2;

/** Interval at which endpoint removals that were deferred by a store outage are rechecked. */
constexpr std::chrono::milliseconds kHousekeepingInterval{250};

/**
 * Heartbeats and leaving endpoints change the endpoint table several times a second; see
 * docs/platform.md.
 */
constexpr std::chrono::milliseconds kEndpointFeedInterval{400};
/** In a fleet that starts, all daemons register within a second or so. */
constexpr std::chrono::milliseconds kDaemonFeedInterval{500};
/** Delay before the list of daemons is read; in a fleet that starts, most have registered then. */
constexpr std::chrono::milliseconds kMembersDelay{30};
constexpr std::chrono::milliseconds kFirstStartMembersDelay{1000};

/** The load balancer removes a VM after two failed readiness checks, one second apart. */
constexpr std::chrono::milliseconds kLoadBalancerRemovalTime{2500};
/** Delay after a failed accept; requests end, and free descriptors, every few ms. */
constexpr std::chrono::milliseconds kAcceptRetryDelay{20};
/** Part of the grace period reserved for the last responses and the end of the process. */
constexpr std::chrono::milliseconds kExitMargin{150};
/** Time in which the last responses are written, and requests that still arrive are refused. */
constexpr std::chrono::milliseconds kFinalWriteTime{50};

std::uint64_t MakeRandomSeed() {
  std::random_device device;
  return (static_cast<std::uint64_t>(device()) << 32) | device();
}

}  // namespace

struct gateway_process::state {
  state(settings::gateway_settings configured,
        const platform_adapter& platform,
        const clock& clock_source)
      : settings(std::move(configured)),
        time(clock_source),
        log(loop, clock_source, STDOUT_FILENO),
        shared(loop, clock_source, platform, log, counters),
        acceptor(loop),
        readiness_server(loop, [this](std::string_view path) { return HandleReadiness(path); }),
        metrics_server(loop,
                       [this](std::string_view) {
                         return status_server::response{kOk, counters.Expose()};
                       }),
        connections(loop, platform, settings.store_address),
        config_listener(shared),
        endpoint_listener(shared),
        daemons(loop,
                shared,
                connections.registration,
                settings.peer_address,
                [this](const std::vector<routing::relay_member>& others) { SetPeers(others); }),
        config_replica(config_listener,
                       clock_source,
                       shared.store_time,
                       [this] { relay.OnReplicaChanged(kConfigTable); }),
        endpoint_replica(endpoint_listener,
                         clock_source,
                         shared.store_time,
                         [this] { relay.OnReplicaChanged(kEndpointTable); }),
        daemon_replica(daemons,
                       clock_source,
                       shared.store_time,
                       [this] { relay.OnReplicaChanged(kDaemonTable); }),
        config_watcher(loop,
                       platform,
                       connections.config,
                       std::string(platform.ConfigTable()),
                       config_replica,
                       {},
                       MakeRandomSeed()),
        endpoint_watcher(loop,
                         platform,
                         connections.endpoints,
                         std::string(platform.EndpointTable()),
                         endpoint_replica,
                         watch_options{.min_interval = kEndpointFeedInterval},
                         MakeRandomSeed()),
        daemon_watcher(loop,
                       platform,
                       connections.daemons,
                       std::string(daemon_table::kTable),
                       daemon_replica,
                       watch_options{.min_interval = kDaemonFeedInterval},
                       MakeRandomSeed()),
        loads(shared),
        relay(shared,
              {{"config", config_replica, config_watcher, true},
               {"endpoints", endpoint_replica, endpoint_watcher, true},
               {"daemons", daemon_replica, daemon_watcher, false}},
              loads,
              MakeRandomSeed()),
        gossip(loop, shared),
        quarantine(loop, shared, connections.quarantine, settings.peer_address),
        signals(loop),
        housekeeping_timer(loop),
        exit_timer(loop) {
    shared.own_vm = settings.vm_name;
    shared.own_failure_domain = settings.failure_domain;
    shared.random.seed(MakeRandomSeed());
    ApplyRetrySettings();
    shared.max_header_lines = settings.header_lines;
    shared.memory.SetOptions(MakeBudgetOptions(settings.memory_bytes, settings.descriptors));
    shared.endpoints.SetLeavingListener(
        [this](const routing::endpoint_ptr& endpoint, routing::leaving_source source) {
          OnEndpointLeaving(endpoint, source);
        });
    shared.endpoints.SetColdListener([this](const routing::endpoint_ptr& endpoint) {
      log.LogState(endpoint->limit.is_cold() ? "endpoint_cold" : "endpoint_warm",
                   {{"endpoint", endpoint->entry.id},
                    {"failure_domain", endpoint->entry.failure_domain},
                    {"row_version", endpoint->row_version}});
    });
    shared.on_request_sent = [this] {
      gossip.ScheduleReport();
      loads.ScheduleExchange();
    };
    shared.endpoint_list_age = [this] { return endpoint_replica.Age(); };
    shared.on_evidence = [this] { gossip.ScheduleEvidence(); };
    shared.on_store_restored = [this] {
      quarantine.SaveAgain();
      shared.origins.ShareAgain();
    };
    shared.on_work_done = [this] { ExitIfIdle(); };
    shared.quarantine.SetListener([this](const routing::request_trait& trait, bool is_own) {
      log.LogState("trait_quarantined", {{"trait", fmt::format("{:016x}", trait.id.value)},
                                         {"specificity", static_cast<int>(trait.specificity)},
                                         {"own", is_own}});
      if (is_own && !settings.peer_address.empty()) {
        quarantine.Save();
      }
    });
  }

  void SetPeers(const std::vector<routing::relay_member>& others) {
    std::vector<std::string> addresses;
    std::ranges::transform(others, std::back_inserter(addresses), &routing::relay_member::address);
    gossip.SetPeers(addresses);
    relay.SetMembers(others);
    paths.SetMembers(others, {settings.peer_address, settings.failure_domain});
    gossip.SetCarriesLoads(!relay.is_relayed());
  }

  void ReadMembersAfter(std::chrono::milliseconds delay) {
    members_timer.expires_after(delay);
    members_timer.async_wait([this](const asio::error_code& error) {
      if (!error) {
        daemon_watcher.Start();
      }
    });
  }

  void ApplyRetrySettings() {
    shared.SetBudgetOptions({settings.retry_share, settings.retry_slack, settings.retry_window});
  }

  bool IsReady() const {
    return !shared.draining && shared.config != nullptr && endpoint_listener.loaded();
  }

  status_server::response HandleReadiness(std::string_view path) const {
    if (path != shared.adapter.ReadinessPath()) {
      return {kNotFound, {}};
    }
    return {IsReady() ? kOk : kUnavailable, {}};
  }

  /** @return the open requests; the returned pointers keep them alive during iteration. */
  std::vector<std::shared_ptr<request_handler>> OpenRequests() {
    std::vector<std::shared_ptr<request_handler>> open;
    open.reserve(shared.open_requests.size());
    for (request_handler* handler : shared.open_requests) {
      open.push_back(handler->shared_from_this());
    }
    return open;
  }

  void OnEndpointLeaving(const routing::endpoint_ptr& endpoint, routing::leaving_source source) {
    log.LogState("endpoint_leaving",
                 {{"endpoint", endpoint->entry.id},
                  {"source", ToString(source)},
                  {"own", endpoint->own_load.requests},
                  {"known_ms", std::chrono::duration_cast<std::chrono::milliseconds>(
                                   time.Now() - endpoint->listed_at)
                                   .count()}});
    gossip.OnEndpointLeaving(*endpoint);
    for (const auto& handler : OpenRequests()) {
      shared.RunGuarded("request", [&] { handler->OnEndpointLeaving(*endpoint); });
    }
  }

  void Accept() {
    acceptor.async_accept([this](const asio::error_code& error, asio::ip::tcp::socket socket) {
      if (!acceptor.is_open()) {
        return;
      }
      if (error) {
        // Without free file descriptors an immediate retry would fail as well.
        counters.Counter("tarragon_gateway_accept_errors_total").Add();
        RetryAccept();
        return;
      }
      counters.Counter("tarragon_gateway_connections_total").Add();
      shared.RunGuarded("accept", [&] {
        std::make_shared<caller_connection>(shared, std::move(socket))->Start();
      });
      Accept();
    });
  }

  void RetryAccept() {
    accept_timer.expires_after(kAcceptRetryDelay);
    accept_timer.async_wait([this](const asio::error_code& error) {
      if (!error) {
        Accept();
      }
    });
  }

  void ScheduleHousekeeping() {
    housekeeping_timer.expires_at(shared.NextHousekeeping(kHousekeepingInterval));
    housekeeping_timer.async_wait([this](const asio::error_code& error) {
      if (error) {
        return;
      }
      shared.RunGuarded("housekeeping", [this] {
        shared.KeepHouse();
        readiness.Update(IsReady());
      });
      ScheduleHousekeeping();
    });
  }

  void AwaitSignal() {
    signals.async_wait([this](const asio::error_code& error, int signal_number) {
      if (error) {
        return;
      }
      if (signal_number == SIGHUP) {
        Reload();
      } else {
        Drain(signal_number);
      }
      AwaitSignal();
    });
  }

  void Reload() {
    std::vector<std::string> errors;
    const auto read = settings::gateway_settings::Load(settings_file, &errors);
    if (!read) {
      log.LogState("reload_failed",
                   {{"error", errors.empty() ? std::string("-") : errors.front()}});
      return;
    }
    // Addresses and names do not change while the process runs.
    settings.grace_period = read->grace_period;
    settings.retry_share = read->retry_share;
    settings.retry_slack = read->retry_slack;
    ApplyRetrySettings();
    log.LogState("reload", {{"grace_ms", settings.grace_period.count()}});
  }

  void Drain(int signal_number) {
    if (std::exchange(shared.draining, true)) {
      return;
    }
    drain_started = time.Now();
    log.LogState("drain",
                 {{"signal", signal_number}, {"open_requests", shared.open_requests.size()}});
    shared.exit_at = drain_started + settings.grace_period - kExitMargin;
    exit_timer.expires_at(shared.exit_at);
    exit_timer.async_wait([this](const asio::error_code& error) {
      if (!error) {
        Exit();
      }
    });
    removal_timer.expires_after(kLoadBalancerRemovalTime);
    removal_timer.async_wait([this](const asio::error_code& error) {
      if (!error) {
        ExitIfIdle();
      }
    });
  }

  /** @return whether the process has nothing left to do for its callers. */
  bool IsIdle() const {
    return shared.open_requests.empty() && shared.uploads.empty() &&
           shared.unsent_connections == 0 && shared.open_tunnels == 0 &&
           time.Now() >= drain_started + kLoadBalancerRemovalTime;
  }

  void ExitIfIdle() {
    if (!shared.draining || shared.closing || !IsIdle() || std::exchange(exit_posted, true)) {
      return;
    }
    asio::post(loop, [this] {
      exit_posted = false;
      // A request may have arrived in the same pass of the loop.
      if (!shared.closing && IsIdle()) {
        Exit();
      }
    });
  }

  void Exit() {
    if (std::exchange(shared.closing, true)) {
      return;
    }
    for (const auto& handler : OpenRequests()) {
      handler->EndForProcessExit();
    }
    shared.uploads.RefuseAll(shared);
    log.LogState("stop", {{"after_ms", std::chrono::duration_cast<std::chrono::milliseconds>(
                                           time.Now() - drain_started)
                                           .count()}});
    log.Flush();
    asio::error_code ignored;
    acceptor.close(ignored);
    exit_timer.expires_after(kFinalWriteTime);
    exit_timer.async_wait([this](const asio::error_code&) { loop.stop(); });
  }

  settings::gateway_settings settings;
  const clock& time;
  asio::io_context loop{1};
  metrics counters;
  event_log log;
  gateway_state shared;
  asio::ip::tcp::acceptor acceptor;
  status_server readiness_server;
  status_server metrics_server;
  store_connections connections;
  config_updater config_listener;
  endpoint_updater endpoint_listener;
  daemon_table daemons;
  table_replica config_replica;
  table_replica endpoint_replica;
  table_replica daemon_replica;
  readiness_log readiness{shared, config_replica, endpoint_replica};
  table_watcher config_watcher;
  table_watcher endpoint_watcher;
  table_watcher daemon_watcher;
  load_relay loads;
  relay_node relay;
  load_gossip gossip;
  quarantine_table quarantine;
  origin_table origins{loop, shared, connections.origin_writes, connections.origin_reads};
  path_monitor paths{shared};
  tunnel_server tunnels{shared, paths};
  asio::signal_set signals;
  asio::steady_timer housekeeping_timer;
  asio::steady_timer exit_timer;
  asio::steady_timer removal_timer{loop};
  asio::steady_timer accept_timer{loop};
  asio::steady_timer members_timer{loop};
  std::string settings_file;
  time_point drain_started;
  bool exit_posted = false;
};

gateway_process::gateway_process(settings::gateway_settings settings,
                                 const platform_adapter& adapter,
                                 const clock& time)
    : state_(std::make_unique<state>(std::move(settings), adapter, time)) {}

gateway_process::~gateway_process() {
  for (const auto& handler : state_->OpenRequests()) {
    handler->OnCallerGone();
  }
}

bool gateway_process::Start(const std::string& settings_file) {
  state& self = *state_;
  self.settings_file = settings_file;
  const std::int64_t started = self.time.WallNow().time_since_epoch().count();
  const settings::gateway_settings& settings = self.settings;
  self.shared.evidence.SetWitness(settings.vm_name, started);
  self.log.LogState("start", {{"vm", settings.vm_name},
                              {"failure_domain", settings.failure_domain},
                              {"callers", settings.callers_address},
                              {"store", settings.store_address}});
  const bool listening =
      OpenAcceptor(self.acceptor, settings.callers_address) &&
      self.readiness_server.Listen(settings.readiness_address) &&
      (settings.peer_address.empty() || (self.gossip.Open(settings.peer_address, started) &&
                                         self.relay.Open(settings.peer_address)));
  if (!listening) {
    self.log.LogState("listen_failed", {{"callers", settings.callers_address},
                                        {"readiness", settings.readiness_address},
                                        {"peers", settings.peer_address}});
    self.log.Flush();
    return false;
  }
  if (!settings.metrics_address.empty() && !self.metrics_server.Listen(settings.metrics_address)) {
    // The gateway serves callers even without a metrics server.
    self.log.LogState("metrics_unavailable", {{"address", settings.metrics_address}});
  }
  asio::error_code error;
  if (!settings.peer_address.empty()) {
    self.shared.origin_lookup = &self.origins;
    self.shared.on_origins = [&self] { self.origins.Update(); };
    self.shared.paths = &self.paths;
    self.relay.SetTunnelListener([&self](asio::ip::tcp::socket daemon, const auto& request) {
      self.tunnels.Open(std::move(daemon), request);
    });
  }
  self.signals.add(SIGTERM, error);
  self.signals.add(SIGINT, error);
  self.signals.add(SIGHUP, error);
  self.AwaitSignal();
  self.Accept();
  self.ScheduleHousekeeping();
  if (!settings.peer_address.empty()) {
    self.daemons.Register();
    if (!settings.first_start) {
      self.quarantine.Restore();
    }
    self.ReadMembersAfter(settings.first_start ? kFirstStartMembersDelay : kMembersDelay);
  }
  self.relay.Start();
  self.loads.Start();
  return true;
}

void gateway_process::Run() {
  // An error that a handler did not expect ends what that handler did, not the other requests.
  for (bool running = true; running;) {
    try {
      state_->loop.run();
      running = false;
    } catch (const std::exception& error) {
      state_->shared.ReportUnexpectedError("loop", error);
    }
  }
  state_->log.Flush();
}

void gateway_process::Shutdown() {
  asio::post(state_->loop, [this] { state_->Drain(SIGTERM); });
}

}  // namespace tarragon::gateway
