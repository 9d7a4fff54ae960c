#include "tarragon/net/entry_process.h"

#include <sys/resource.h>

#include <algorithm>
#include <atomic>
#include <nlohmann/json.hpp>
#include <random>
#include <thread>
#include <utility>

#include "net/http_server.h"
#include "tarragon/base/hash.h"
#include "tarragon/base/log.h"
#include "tarragon/base/metric_names.h"
#include "tarragon/base/metrics.h"
#include "tarragon/document/document_replica.h"
#include "tarragon/net/admin_api.h"
#include "tarragon/net/caller_api.h"
#include "tarragon/net/core_thread.h"
#include "tarragon/net/document_syncer.h"
#include "tarragon/net/fleet_keys.h"
#include "tarragon/net/load_poller.h"
#include "tarragon/net/peer_address.h"
#include "tarragon/net/peer_exchange.h"
#include "tarragon/net/platform_thread.h"
#include "tarragon/net/socket_address.h"
#include "tarragon/store/document_service.h"
#include "tarragon/store/http_platform_store.h"
#include "tarragon/store/unavailable_platform_store.h"

namespace tarragon::net {

namespace {

constexpr int kHttpOk = 200;
constexpr int kHttpUnauthorized = 401;
constexpr int kHttpUnavailable = 503;
constexpr std::chrono::milliseconds kDrainPollInterval{10};
constexpr std::chrono::seconds kClaimDrainTimeout{10};

decision::engine_options MakeEngineOptions(const settings::entry_settings& settings) {
  const settings::policy_settings& policy = settings.policy;
  decision::engine_options options;
  switch (policy.selector) {
    case settings::selector_name::kRoundRobin:
      options.selector = decision::selector_choice::kRoundRobin;
      break;
    case settings::selector_name::kLeastReportedLoad:
      options.selector = decision::selector_choice::kLeastReportedLoad;
      break;
    case settings::selector_name::kTwoChoice:
      options.selector = decision::selector_choice::kTwoChoice;
      break;
  }
  options.fair_queue = policy.fair_queue;
  options.memory_admission = policy.memory_admission;
  options.eject_outliers = policy.eject_outliers;
  options.isolate_suspects = policy.isolate_suspects;
  options.hedge_reads = policy.hedge_reads;
  options.limit_concurrency = policy.limit_concurrency;
  options.limit_accounts = policy.limit_accounts;
  options.max_queued = static_cast<std::size_t>(settings.limits.max_queued);
  options.max_open = static_cast<std::size_t>(settings.limits.max_open);
  options.return_window = settings.limits.return_window;
  return options;
}

core_options MakeCoreOptions(const settings::entry_settings& settings) {
  core_options options;
  options.engine = MakeEngineOptions(settings);
  options.upstream.max_attempts = static_cast<std::size_t>(settings.limits.max_attempts);
  options.upstream.connect_timeout = settings.limits.connect_timeout;
  // The seed comes from the system, because generation ids must differ between processes.
  std::random_device random;
  options.seed = (std::uint64_t{random()} << 32) | random();
  return options;
}

http_server_options MakeServerOptions(const settings::entry_settings& settings) {
  http_server_options options;
  options.max_connections = static_cast<std::size_t>(settings.limits.max_connections);
  options.request_timeout = settings.limits.request_timeout;
  options.write_timeout = settings.limits.write_timeout;
  return options;
}

caller_api_options MakeApiOptions(const settings::entry_settings& settings) {
  caller_api_options options;
  options.limits.max_tokens = static_cast<std::uint32_t>(settings.limits.max_tokens);
  options.limits.max_ticket_age = settings.limits.ticket_max_age;
  options.ticket_key = fleet_keys::Make(settings.ticket_key).tickets;
  return options;
}

store::document_service_options MakeServiceOptions(const settings::entry_settings& settings) {
  store::document_service_options options;
  for (const auto& [name, team] : settings.teams) {
    for (const std::string& section : team.sections) {
      options.owners[section] = name;
    }
  }
  return options;
}

admin_options MakeAdminOptions(const settings::entry_settings& settings) {
  admin_options options;
  options.vm = settings.vm_name;
  for (const auto& [name, team] : settings.teams) {
    options.teams_by_token_sha256[team.token_sha256] = name;
  }
  return options;
}

syncer_options MakeSyncerOptions(const settings::entry_settings& settings) {
  syncer_options options;
  options.key = fleet_keys::Make(settings.ticket_key).documents;
  return options;
}

std::unique_ptr<store::platform_store> MakeStore(const settings::entry_settings& settings) {
  const auto address = socket_address::Make(settings.platform_address);
  if (!address) {
    return std::make_unique<store::unavailable_platform_store>();
  }
  store::http_store_options options;
  options.host = address->ip;
  options.port = address->port;
  options.connect_timeout = settings.platform_connect_timeout;
  options.io_timeout = settings.platform_read_timeout;
  return store::http_platform_store::Make(options);
}

}  // namespace

struct entry_process::state {
  state(settings::entry_settings entry, const clock& clock_source)
      : settings(std::move(entry)),
        time(clock_source),
        core(
            MakeCoreOptions(settings),
            [this](const claim_action& action) { return platform && platform->TryPush(action); },
            time,
            counters),
        api(MakeApiOptions(settings), core, documents, time, counters),
        poller(
            load_poller_options{},
            documents,
            [this](decision::load_reported&& report) { core.Post(std::move(report)); },
            time,
            counters),
        server(MakeServerOptions(settings),
               [this](const httplib::Request& request, httplib::Response& response) {
                 RouteRequest(request, response);
               }),
        store(MakeStore(settings)),
        service(*store, MakeServiceOptions(settings)),
        admin(
            MakeAdminOptions(settings),
            service,
            documents,
            [this] { return Members(); },
            time),
        syncer(
            MakeSyncerOptions(settings),
            documents,
            service,
            [this] { return Members(); },
            time,
            counters,
            std::random_device{}()) {
    if (!settings.platform_address.empty()) {
      platform = std::make_unique<platform_thread>(
          platform_thread_options{}, *store, documents,
          [this](decision::event&& event) { core.Post(std::move(event)); },
          [this](const std::vector<store::listed_vm>& list) { AddListedSeeds(list); }, time,
          counters);
    }
    if (!settings.peer_address.empty()) {
      peers = MakePeerExchange();
    }
    documents.AddListener([this](const document::document_ptr& next) {
      LogEvent("document_changed", {{"version", next->version()}});
      counters.Gauge("tarragon_document_version").Set(static_cast<std::int64_t>(next->version()));
      core.Post(decision::document_changed{next});
      if (peers) {
        peers->SetDocumentVersion(next->version());
      }
    });
  }

  /** @return null if the peer address cannot be parsed. */
  std::unique_ptr<peer_exchange> MakePeerExchange() {
    const auto address = ParsePeerAddress(settings.peer_address);
    if (!address) {
      return nullptr;
    }
    peer_exchange_options options;
    options.vm = settings.vm_name;
    options.address = *address;
    options.keys = fleet_keys::Make(settings.ticket_key);
    for (const std::string& seed : settings.seeds) {
      if (const auto parsed = ParsePeerAddress(seed); parsed && *parsed != *address) {
        options.seeds.push_back(*parsed);
      }
    }
    return std::make_unique<peer_exchange>(
        options,
        peer_exchange::callbacks{
            .on_event = [this](decision::event&& event) { core.Post(std::move(event)); },
            .get_local_state = [this] { return core.LocalState(); },
            .on_newer_document =
                [this](const membership::newer_document& newer) { syncer.OnNewerDocument(newer); }},
        documents, time);
  }

  /**
   * Adds the entry VMs of the platform's VM list to the seeds. The document tells which of the
   * listed VMs are entries and not endpoints.
   */
  void AddListedSeeds(const std::vector<store::listed_vm>& list) {
    const document::document_ptr document = documents.Current();
    if (!peers || !document) {
      return;
    }
    std::vector<wire::peer_address> seeds;
    for (const store::listed_vm& vm : list) {
      const auto& vms = document->contents().vms;
      const bool is_entry =
          std::ranges::find(vms, vm.id, &document::vm_settings::name) != vms.end();
      const auto address = ParsePeerAddress(vm.address);
      if (is_entry && !vm.leaving && vm.id != settings.vm_name && address) {
        seeds.push_back(*address);
      }
    }
    peers->SetListedSeeds(seeds);
  }

  std::vector<membership::member_view> Members() const {
    return peers ? peers->Members() : std::vector<membership::member_view>();
  }

  void RouteRequest(const httplib::Request& request, httplib::Response& response) {
    if (request.path == "/healthz") {
      response.set_content("ok\n", "text/plain");
    } else if (request.path == "/readyz") {
      response.status = IsReady() ? kHttpOk : kHttpUnavailable;
      response.set_content(IsReady() ? "ready\n" : "not ready\n", "text/plain");
    } else if (request.path == "/metrics") {
      UpdateProcessMetrics();
      response.set_content(counters.Expose(), "text/plain; version=0.0.4");
    } else if (request.path == "/admin/status") {
      WriteStatus(request, response);
    } else if (request.path.starts_with("/admin/")) {
      HandleAdminRequest(request, response);
    } else {
      api.Handle(request, response);
      return;
    }
    response.set_header("Run-Verdict", std::string(ToString(run_verdict::kNotRun)));
  }

  void HandleAdminRequest(const httplib::Request& request, httplib::Response& response) {
    admin_request call{
        .method = request.method, .path = request.path, .headers = {}, .body = request.body};
    for (const auto& [name, value] : request.headers) {
      call.headers.emplace(name, value);
    }
    const admin_response result = admin.Handle(call);
    response.status = result.status;
    for (const auto& [name, value] : result.headers) {
      response.set_header(name, value);
    }
    response.set_content(result.body, result.content_type);
  }

  void UpdateProcessMetrics() {
    rusage usage{};
    ::getrusage(RUSAGE_SELF, &usage);
    const auto ms = [](const timeval& t) {
      return std::int64_t{t.tv_sec} * 1000 + t.tv_usec / 1000;
    };
    counters.Counter("tarragon_process_cpu_milliseconds")
        .Set(ms(usage.ru_utime) + ms(usage.ru_stime));
    counters.Gauge("tarragon_process_peak_memory_kilobytes").Set(usage.ru_maxrss);
    // Lets a reader of the counters detect that a restart reset them to zero.
    counters.Gauge(kProcessStartMetric).Set(start_time.time_since_epoch().count());
  }

  bool HasTeamToken(const httplib::Request& request) const {
    const auto token = BearerToken(request.get_header_value("Authorization"));
    const std::string hash = token ? Sha256Hex(*token) : std::string();
    bool found = false;
    for (const auto& [name, team] : settings.teams) {
      found = ConstantTimeEquals(team.token_sha256, hash) || found;
    }
    return found;
  }

  void WriteStatus(const httplib::Request& request, httplib::Response& response) const {
    if (!HasTeamToken(request)) {
      const http_error error{.status = kHttpUnauthorized,
                             .code = "invalid_token",
                             .message = "Authorization: expected the bearer token of a team"};
      response.status = error.status;
      response.set_content(error.Body(), "application/json");
      return;
    }
    nlohmann::json members = nlohmann::json::array();
    for (const membership::member_view& member : Members()) {
      members.push_back({{"vm", member.name},
                         {"state", wire::ToString(member.state)},
                         {"address", ToString(member.gossip)},
                         {"document_version", member.document_version}});
    }
    response.set_content(nlohmann::json{{"vm", settings.vm_name},
                                        {"failure_domain", settings.failure_domain},
                                        {"ready", IsReady()},
                                        {"draining", draining.load()},
                                        {"document_version", documents.Version()},
                                        {"open_requests", core.OpenRequests()},
                                        {"open_answers", api.OpenResponses()},
                                        {"members", std::move(members)}}
                             .dump(),
                         "application/json");
  }

  /** An entry that is not ready still serves requests, but load balancers send it no new ones. */
  bool IsReady() const {
    const document::document_ptr document = documents.Current();
    return !draining && document != nullptr && !IsLeaving(*document);
  }

  bool IsLeaving(const document::operating_document& document) const {
    return std::ranges::any_of(document.contents().vms, [this](const auto& vm) {
      return vm.name == settings.vm_name && vm.state == document::serving_state::kLeaving;
    });
  }

  const settings::entry_settings settings;
  const clock& time;
  const wall_time_point start_time = time.WallNow();
  metrics counters;
  document::document_replica documents;
  std::atomic<bool> draining{false};
  std::atomic<bool> started{false};
  core_thread core;
  caller_api api;
  load_poller poller;
  http_server server;
  const std::unique_ptr<store::platform_store> store;
  store::document_service service;
  admin_api admin;
  document_syncer syncer;
  /** Null without a peer address. */
  std::unique_ptr<peer_exchange> peers;
  /** Null without a platform address; unrepeatable requests are then rejected. */
  std::unique_ptr<platform_thread> platform;
};

entry_process::entry_process(settings::entry_settings settings, const clock& time)
    : state_(std::make_unique<state>(std::move(settings), time)) {}

entry_process::~entry_process() {
  Stop();
}

bool entry_process::Start(const document::document_ptr& initial) {
  const auto address = socket_address::Make(state_->settings.callers_address);
  if (!address || !state_->server.Bind(*address)) {
    LogEvent("bind_failed", {{"address", state_->settings.callers_address}});
    return false;
  }
  if (!state_->settings.peer_address.empty() && (!state_->peers || !state_->peers->Start())) {
    LogEvent("bind_failed", {{"address", state_->settings.peer_address}});
    return false;
  }
  state_->core.Start();
  state_->started = true;
  if (initial) {
    ChangeDocument(initial);
  }
  if (state_->platform) {
    state_->platform->Start();
  }
  if (state_->platform || state_->peers) {
    state_->syncer.Start();
  }
  state_->poller.Start();
  state_->server.Start();
  LogEvent("started", {{"vm", state_->settings.vm_name}, {"port", callers_port()}});
  return true;
}

void entry_process::ChangeDocument(const document::document_ptr& next) {
  state_->documents.Offer(state_->time.Now(), next);
}

int entry_process::callers_port() const {
  return state_->server.port();
}

bool entry_process::IsReady() const {
  return state_->IsReady();
}

void entry_process::Drain() {
  LogEvent("draining", {{"open_requests", state_->core.OpenRequests()}});
  state_->draining = true;
  state_->core.Post(decision::drain_started{});
  while (state_->core.OpenRequests() > 0 || state_->api.OpenResponses() > 0) {
    std::this_thread::sleep_for(kDrainPollInterval);
  }
  // An unrecorded result would leave its idempotency key blocked. The wait is limited, so that an
  // outage of the platform does not block the shutdown.
  const time_point claim_deadline = state_->time.Now() + kClaimDrainTimeout;
  while (state_->platform && state_->platform->PendingClaims() > 0 &&
         state_->time.Now() < claim_deadline) {
    std::this_thread::sleep_for(kDrainPollInterval);
  }
  // The entry leaves last, because its peers must count its load as long as its streams run.
  if (state_->peers) {
    state_->peers->Leave();
  }
  LogEvent("drained",
           {{"unrecorded_claims", state_->platform ? state_->platform->PendingClaims() : 0}});
}

void entry_process::Stop() {
  if (state_->started.exchange(false)) {
    state_->poller.Stop();
    // The core stops before the threads below: this closes the mailboxes that HTTP handlers wait on
    // and releases the threads that are blocked on its full ring.
    state_->core.Stop();
    if (state_->platform) {
      state_->platform->Stop();
    }
    state_->syncer.Stop();
    state_->server.Stop();
    // Stopped last, because each of the other threads may announce a document to the peers.
    if (state_->peers) {
      state_->peers->Stop();
    }
  }
}

metrics& entry_process::counters() {
  return state_->counters;
}

}  // namespace tarragon::net
