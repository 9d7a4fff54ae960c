#include "tarragon/gateway/gateway_process.h"

#include <unistd.h>

#include <asio/executor_work_guard.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/post.hpp>
#include <asio/signal_set.hpp>
#include <asio/steady_timer.hpp>
#include <chrono>
#include <csignal>
#include <random>
#include <string>
#include <unordered_set>
#include <utility>
#include <vector>

#include "tarragon/base/hash.h"
#include "tarragon/base/metrics.h"
#include "tarragon/gateway/caller_connection.h"
#include "tarragon/gateway/config_follower.h"
#include "tarragon/gateway/daemon_table.h"
#include "tarragon/gateway/endpoint_follower.h"
#include "tarragon/gateway/event_log.h"
#include "tarragon/gateway/gateway_state.h"
#include "tarragon/gateway/load_gossip.h"
#include "tarragon/gateway/request_flow.h"
#include "tarragon/gateway/status_server.h"
#include "tarragon/gateway/store_link.h"
#include "tarragon/gateway/table_follower.h"

namespace tarragon::gateway {

namespace {

constexpr int kOk = 200;
constexpr int kNotFound = 404;
constexpr int kUnavailable = 503;

/** Removals that wait for the store's return are looked at this often. */
constexpr std::chrono::milliseconds kHousekeepingInterval{250};

/** Heartbeats and leaving endpoints change the list several times a second; see docs/platform.md.
 */
constexpr std::chrono::milliseconds kEndpointFeedInterval{400};
/** The table of daemons changes when one starts on a new VM. */
constexpr std::chrono::milliseconds kDaemonFeedWait{20000};

/** The load balancer needs two misses, a second apart, to take a VM out. */
constexpr std::chrono::milliseconds kLeaveRotation{2500};
/** Pause after a connection that could not be accepted; requests end every few ms. */
constexpr std::chrono::milliseconds kAcceptPause{20};
/** Part of the grace time that is left for closing down. */
constexpr std::chrono::milliseconds kExitMargin{300};

follower_options EndpointFollowing() {
  follower_options options;
  options.min_interval = kEndpointFeedInterval;
  return options;
}

follower_options DaemonFollowing() {
  follower_options options;
  options.wait = kDaemonFeedWait;
  return options;
}

std::uint64_t RandomSeed() {
  std::random_device device;
  return (static_cast<std::uint64_t>(device()) << 32) | device();
}

}  // namespace

struct gateway_process::state {
  state(settings::gateway_settings configured, const platform_adapter& platform, const clock& clk)
      : settings(std::move(configured)),
        time(clk),
        log(loop, clk, STDOUT_FILENO),
        shared(loop, clk, platform, log, counters),
        acceptor(loop),
        readiness(loop, [this](std::string_view path) { return AnswerReadiness(path); }),
        metrics_page(loop,
                     [this](std::string_view) {
                       return status_server::answer{kOk, counters.Expose()};
                     }),
        config_link(loop, settings.store_address),
        endpoint_link(loop, settings.store_address),
        daemon_link(loop, settings.store_address),
        register_link(loop, settings.store_address),
        configs(shared),
        endpoints(shared),
        daemons(loop,
                shared,
                register_link,
                settings.peer_address,
                [this](const std::vector<std::string>& others) { gossip.SetPeers(others); }),
        config_feed(loop,
                    platform,
                    config_link,
                    std::string(platform.ConfigTable()),
                    configs,
                    {},
                    RandomSeed()),
        endpoint_feed(loop,
                      platform,
                      endpoint_link,
                      std::string(platform.EndpointTable()),
                      endpoints,
                      EndpointFollowing(),
                      RandomSeed()),
        daemon_feed(loop,
                    platform,
                    daemon_link,
                    std::string(daemon_table::kTable),
                    daemons,
                    DaemonFollowing(),
                    RandomSeed()),
        gossip(loop, shared),
        signals(loop),
        housekeeping(loop),
        exit_timer(loop) {
    shared.own_vm = settings.vm_name;
    shared.own_failure_domain = settings.failure_domain;
    shared.random.seed(RandomSeed());
    ApplyRetrySettings();
    shared.endpoints.SetLeavingListener(
        [this](const routing::endpoint_ptr& which) { OnLeaving(which); });
    shared.on_load_added = [this] { gossip.LoadAdded(); };
    shared.on_idle = [this] { ExitIfIdle(); };
  }

  void ApplyRetrySettings() {
    shared.SetBudgetOptions({settings.retry_share, settings.retry_slack, settings.retry_window});
  }

  bool IsReady() const {
    return !shared.draining && shared.config != nullptr && endpoints.loaded();
  }

  status_server::answer AnswerReadiness(std::string_view path) const {
    if (path != shared.adapter.ReadinessPath()) {
      return {kNotFound, {}};
    }
    return {IsReady() ? kOk : kUnavailable, {}};
  }

  /** @return flows that are still open; each is kept alive while it is looked at. */
  std::vector<std::shared_ptr<request_flow>> OpenFlows() {
    std::vector<std::shared_ptr<request_flow>> open;
    open.reserve(shared.flows.size());
    for (request_flow* flow : shared.flows) {
      open.push_back(flow->shared_from_this());
    }
    return open;
  }

  void OnLeaving(const routing::endpoint_ptr& which) {
    log.State("endpoint_leaving",
              {{"endpoint", which->entry.id}, {"own", which->own_load.requests}});
    gossip.EndpointLeaving(*which);
    for (const auto& flow : OpenFlows()) {
      flow->EndpointLeaving(*which);
    }
  }

  void Accept() {
    acceptor.async_accept([this](const asio::error_code& error, asio::ip::tcp::socket socket) {
      if (!acceptor.is_open()) {
        return;
      }
      if (error) {
        // Without free descriptors each further try would fail at once.
        counters.Counter("tarragon_gateway_accept_errors_total").Add();
        AcceptLater();
        return;
      }
      counters.Counter("tarragon_gateway_connections_total").Add();
      const auto connection = std::make_shared<caller_connection>(shared, std::move(socket));
      connection->Start();
      Accept();
    });
  }

  void AcceptLater() {
    accept_timer.expires_after(kAcceptPause);
    accept_timer.async_wait([this](const asio::error_code& error) {
      if (!error) {
        Accept();
      }
    });
  }

  void Housekeep() {
    housekeeping.expires_after(kHousekeepingInterval);
    housekeeping.async_wait([this](const asio::error_code& error) {
      if (error) {
        return;
      }
      shared.endpoints.RemoveMissing(time.Now());
      shared.endpoints.Validate();
      shared.suspects.Expire(time.Now());
      counters.Gauge("tarragon_gateway_open_requests")
          .Set(static_cast<std::int64_t>(shared.flows.size()));
      counters.Gauge("tarragon_gateway_config_version")
          .Set(shared.config ? static_cast<std::int64_t>(shared.config->version()) : 0);
      counters.Gauge("tarragon_gateway_log_lines_dropped")
          .Set(static_cast<std::int64_t>(log.dropped()));
      Housekeep();
    });
  }

  void AwaitSignal() {
    signals.async_wait([this](const asio::error_code& error, int number) {
      if (error) {
        return;
      }
      if (number == SIGHUP) {
        Reload();
      } else {
        Drain(number);
      }
      AwaitSignal();
    });
  }

  void Reload() {
    std::vector<std::string> errors;
    const auto read = settings::gateway_settings::Load(settings_file, &errors);
    if (!read) {
      log.State("reload_failed", {{"error", errors.empty() ? std::string("-") : errors.front()}});
      return;
    }
    // Addresses and names are fixed for the life of a process.
    settings.grace = read->grace;
    settings.retry_share = read->retry_share;
    settings.retry_slack = read->retry_slack;
    ApplyRetrySettings();
    log.State("reload", {{"grace_ms", settings.grace.count()}});
  }

  void Drain(int number) {
    if (std::exchange(shared.draining, true)) {
      return;
    }
    drain_started = time.Now();
    log.State("drain", {{"signal", number}, {"open_requests", shared.flows.size()}});
    shared.exit_at = drain_started + settings.grace - kExitMargin;
    exit_timer.expires_at(shared.exit_at);
    exit_timer.async_wait([this](const asio::error_code& error) {
      if (!error) {
        Exit();
      }
    });
    rotation_timer.expires_after(kLeaveRotation);
    rotation_timer.async_wait([this](const asio::error_code& error) {
      if (!error) {
        ExitIfIdle();
      }
    });
  }

  void ExitIfIdle() {
    if (shared.draining && shared.flows.empty() && time.Now() >= drain_started + kLeaveRotation &&
        !std::exchange(exit_posted, true)) {
      // Answers that were just written leave with the sockets' buffers.
      asio::post(loop, [this] { Exit(); });
    }
  }

  void Exit() {
    shared.closing = true;
    for (const auto& flow : OpenFlows()) {
      flow->Abandon();
    }
    log.State("stop", {{"after_ms", std::chrono::duration_cast<std::chrono::milliseconds>(
                                        time.Now() - drain_started)
                                        .count()}});
    log.Flush();
    asio::error_code ignored;
    acceptor.close(ignored);
    // Requests that arrive on kept connections meanwhile are refused, not taken and cut.
    constexpr std::chrono::milliseconds kLastWrites{50};
    exit_timer.expires_after(kLastWrites);
    exit_timer.async_wait([this](const asio::error_code&) { loop.stop(); });
  }

  settings::gateway_settings settings;
  const clock& time;
  asio::io_context loop{1};
  metrics counters;
  event_log log;
  gateway_state shared;
  asio::ip::tcp::acceptor acceptor;
  status_server readiness;
  status_server metrics_page;
  store_link config_link;
  store_link endpoint_link;
  store_link daemon_link;
  store_link register_link;
  config_follower configs;
  endpoint_follower endpoints;
  daemon_table daemons;
  table_follower config_feed;
  table_follower endpoint_feed;
  table_follower daemon_feed;
  load_gossip gossip;
  asio::signal_set signals;
  asio::steady_timer housekeeping;
  asio::steady_timer exit_timer;
  asio::steady_timer rotation_timer{loop};
  asio::steady_timer accept_timer{loop};
  std::string settings_file;
  time_point drain_started;
  bool exit_posted = false;
};

gateway_process::gateway_process(settings::gateway_settings settings,
                                 const platform_adapter& adapter,
                                 const clock& time)
    : state_(std::make_unique<state>(std::move(settings), adapter, time)) {}

gateway_process::~gateway_process() {
  for (const auto& flow : state_->OpenFlows()) {
    flow->CallerGone();
  }
}

bool gateway_process::Start(const std::string& settings_file) {
  state& self = *state_;
  self.settings_file = settings_file;
  const std::int64_t started = self.time.WallNow().time_since_epoch().count();
  const settings::gateway_settings& settings = self.settings;
  self.log.State("start", {{"vm", settings.vm_name},
                           {"failure_domain", settings.failure_domain},
                           {"callers", settings.callers_address},
                           {"store", settings.store_address}});
  const bool listening =
      OpenAcceptor(self.acceptor, settings.callers_address) &&
      self.readiness.Listen(settings.readiness_address) &&
      (settings.peer_address.empty() || self.gossip.Open(settings.peer_address, started));
  if (!listening) {
    self.log.State("listen_failed", {{"callers", settings.callers_address},
                                     {"readiness", settings.readiness_address},
                                     {"peers", settings.peer_address}});
    self.log.Flush();
    return false;
  }
  if (!settings.metrics_address.empty() && !self.metrics_page.Listen(settings.metrics_address)) {
    // Callers are served without metrics.
    self.log.State("metrics_unavailable", {{"address", settings.metrics_address}});
  }
  asio::error_code error;
  self.signals.add(SIGTERM, error);
  self.signals.add(SIGINT, error);
  self.signals.add(SIGHUP, error);
  self.AwaitSignal();
  self.Accept();
  self.Housekeep();
  self.config_feed.Start();
  self.endpoint_feed.Start();
  if (!settings.peer_address.empty()) {
    self.daemons.Register();
    self.daemon_feed.Start();
  }
  return true;
}

void gateway_process::Run() {
  state_->loop.run();
  state_->log.Flush();
}

void gateway_process::Shutdown() {
  asio::post(state_->loop, [this] { state_->Drain(SIGTERM); });
}

}  // namespace tarragon::gateway
