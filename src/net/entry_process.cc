#include "tarragon/net/entry_process.h"

#include <sys/resource.h>

#include <atomic>
#include <nlohmann/json.hpp>
#include <random>
#include <thread>
#include <utility>

#include "net/http_server.h"
#include "tarragon/base/hash.h"
#include "tarragon/base/log.h"
#include "tarragon/base/metrics.h"
#include "tarragon/document/document_replica.h"
#include "tarragon/net/caller_api.h"
#include "tarragon/net/core_thread.h"
#include "tarragon/net/load_poller.h"
#include "tarragon/net/platform_thread.h"
#include "tarragon/net/socket_address.h"
#include "tarragon/platform/http_platform_store.h"

namespace tarragon::net {

namespace {

constexpr int kHttpOk = 200;
constexpr int kHttpUnauthorized = 401;
constexpr int kHttpUnavailable = 503;
constexpr std::chrono::milliseconds kDrainPollInterval{10};
constexpr std::chrono::seconds kClaimDrainTimeout{10};

decision::engine_options EngineOptions(const settings::entry_settings& settings) {
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

core_options CoreOptions(const settings::entry_settings& settings) {
  core_options options;
  options.engine = EngineOptions(settings);
  options.upstream.max_attempts = static_cast<std::size_t>(settings.limits.max_attempts);
  options.upstream.connect_timeout = settings.limits.connect_timeout;
  // Generation ids must differ between processes, so that the seed comes from the system.
  std::random_device random;
  options.seed = (std::uint64_t{random()} << 32) | random();
  return options;
}

http_server_options ServerOptions(const settings::entry_settings& settings) {
  http_server_options options;
  options.max_connections = static_cast<std::size_t>(settings.limits.max_connections);
  options.request_timeout = settings.limits.request_timeout;
  options.write_timeout = settings.limits.write_timeout;
  return options;
}

caller_api_options ApiOptions(const settings::entry_settings& settings) {
  caller_api_options options;
  options.limits.max_tokens = static_cast<std::uint32_t>(settings.limits.max_tokens);
  options.limits.max_ticket_age = settings.limits.ticket_max_age;
  options.ticket_key = settings.ticket_key;
  return options;
}

std::unique_ptr<platform::http_platform_store> MakeStore(const settings::entry_settings& settings) {
  const auto address = socket_address::Make(settings.platform_address);
  if (!address) {
    return nullptr;
  }
  platform::http_store_options options;
  options.host = address->ip;
  options.port = address->port;
  options.connect_timeout = settings.platform_connect_timeout;
  options.io_timeout = settings.platform_read_timeout;
  return platform::http_platform_store::Make(options);
}

}  // namespace

struct entry_process::state {
  state(settings::entry_settings entry, const clock& source)
      : settings(std::move(entry)),
        time(source),
        core(
            CoreOptions(settings),
            [this](const claim_action& action) { return calls && calls->TryPush(action); },
            time,
            counters),
        api(ApiOptions(settings), core, documents, time, counters),
        loads(
            load_poller_options{},
            documents,
            [this](decision::load_reported&& report) { core.Post(std::move(report)); },
            time,
            counters),
        server(ServerOptions(settings),
               [this](const httplib::Request& request, httplib::Response& response) {
                 Route(request, response);
               }),
        store(MakeStore(settings)) {
    if (store) {
      calls = std::make_unique<platform_thread>(
          platform_thread_options{}, *store, documents,
          [this](decision::event&& what) { core.Post(std::move(what)); }, time, counters);
    }
    documents.AddListener([this](const document::document_ptr& next) {
      LogEvent("document_changed", {{"version", next->version()}});
      counters.Gauge("tarragon_document_version").Set(static_cast<std::int64_t>(next->version()));
      core.Post(decision::document_changed{next});
    });
  }

  void Route(const httplib::Request& request, httplib::Response& response) {
    if (request.path == "/healthz") {
      response.set_content("ok\n", "text/plain");
    } else if (request.path == "/readyz") {
      response.status = ready() ? kHttpOk : kHttpUnavailable;
      response.set_content(ready() ? "ready\n" : "not ready\n", "text/plain");
    } else if (request.path == "/metrics") {
      RecordCpu();
      response.set_content(counters.Expose(), "text/plain; version=0.0.4");
    } else if (request.path == "/admin/status") {
      ShowStatus(request, response);
    } else {
      api.Handle(request, response);
      return;
    }
    response.set_header("Run-Verdict", std::string(ToString(run_verdict::kNotRun)));
  }

  void RecordCpu() {
    rusage usage{};
    ::getrusage(RUSAGE_SELF, &usage);
    const auto ms = [](const timeval& t) {
      return std::int64_t{t.tv_sec} * 1000 + t.tv_usec / 1000;
    };
    counters.Counter("tarragon_process_cpu_milliseconds")
        .Set(ms(usage.ru_utime) + ms(usage.ru_stime));
    counters.Gauge("tarragon_process_peak_memory_kilobytes").Set(usage.ru_maxrss);
  }

  bool IsTeam(const httplib::Request& request) const {
    const auto token = BearerToken(request.get_header_value("Authorization"));
    const std::string hash = token ? Sha256Hex(*token) : std::string();
    bool found = false;
    for (const auto& [name, team] : settings.teams) {
      found = ConstantTimeEquals(team.token_sha256, hash) || found;
    }
    return found;
  }

  void ShowStatus(const httplib::Request& request, httplib::Response& response) const {
    if (!IsTeam(request)) {
      const http_error error{.status = kHttpUnauthorized,
                             .code = "invalid_token",
                             .message = "Authorization: expected the bearer token of a team"};
      response.status = error.status;
      response.set_content(error.Body(), "application/json");
      return;
    }
    const document::document_ptr document = documents.Current();
    response.set_content(nlohmann::json{{"vm", settings.vm_name},
                                        {"failure_domain", settings.failure_domain},
                                        {"ready", ready()},
                                        {"draining", draining.load()},
                                        {"document_version", document ? document->version() : 0},
                                        {"open_requests", core.OpenRequests()},
                                        {"open_answers", api.OpenAnswers()},
                                        {"members", nlohmann::json::array()}}
                             .dump(),
                         "application/json");
  }

  bool ready() const { return !draining && documents.Current() != nullptr; }

  const settings::entry_settings settings;
  const clock& time;
  metrics counters;
  document::document_replica documents;
  std::atomic<bool> draining{false};
  std::atomic<bool> started{false};
  core_thread core;
  caller_api api;
  load_poller loads;
  http_server server;
  std::unique_ptr<platform::http_platform_store> store;
  /** Null without a platform; then unrepeatable calls are refused. */
  std::unique_ptr<platform_thread> calls;
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
  state_->core.Start();
  state_->started = true;
  if (initial) {
    ChangeDocument(initial);
  }
  if (state_->calls) {
    state_->calls->Start();
  }
  state_->loads.Start();
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
  return state_->ready();
}

void entry_process::Drain() {
  LogEvent("draining", {{"open_requests", state_->core.OpenRequests()}});
  state_->draining = true;
  state_->core.Post(decision::drain_started{});
  while (state_->core.OpenRequests() > 0 || state_->api.OpenAnswers() > 0) {
    std::this_thread::sleep_for(kDrainPollInterval);
  }
  // A result that is not recorded would leave its key blocked; an outage must not hold the exit.
  const time_point give_up = state_->time.Now() + kClaimDrainTimeout;
  while (state_->calls && state_->calls->PendingClaims() > 0 && state_->time.Now() < give_up) {
    std::this_thread::sleep_for(kDrainPollInterval);
  }
  LogEvent("drained", {{"unrecorded_claims", state_->calls ? state_->calls->PendingClaims() : 0}});
}

void entry_process::Stop() {
  if (state_->started.exchange(false)) {
    state_->loads.Stop();
    // The core ends first, which closes the mailboxes that handlers wait for.
    state_->core.Stop();
    if (state_->calls) {
      state_->calls->Stop();
    }
    state_->server.Stop();
  }
}

metrics& entry_process::counters() {
  return state_->counters;
}

}  // namespace tarragon::net
