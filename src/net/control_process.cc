#include "tarragon/net/control_process.h"

#include <fmt/format.h>

#include <algorithm>
#include <atomic>
#include <condition_variable>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include <httplib.h>
#include "tarragon/base/log.h"
#include "tarragon/base/metrics.h"
#include "tarragon/control/lease_keeper.h"
#include "tarragon/control/order_reconciler.h"
#include "tarragon/document/document_replica.h"
#include "tarragon/net/engine_client.h"
#include "tarragon/net/socket_address.h"
#include "tarragon/net/thread_pool.h"
#include "tarragon/store/document_service.h"
#include "tarragon/store/http_platform_store.h"

namespace tarragon::net {

namespace {

using std::chrono::milliseconds;

constexpr char kLeaseKey[] = "control/lease";
constexpr char kRolloutPrefix[] = "control/rollout/";
constexpr milliseconds kLeasePollInterval{50};
constexpr milliseconds kReconcileInterval{100};
constexpr milliseconds kDocumentPollInterval{1000};
/** Maximum concurrent reads and orders; each hung engine occupies one thread. */
constexpr std::size_t kEngineThreadCount = 32;
/** Maximum wait at shutdown for the write that releases the lease. */
constexpr milliseconds kResignTimeout{2000};

control::lease_options MakeLeaseOptions(const settings::control_settings& settings) {
  control::lease_options options;
  options.term = settings.lease_term;
  options.renew_interval = settings.renew_interval;
  return options;
}

control::reconcile_options MakeReconcileOptions(const settings::control_settings& settings) {
  control::reconcile_options options;
  options.load_interval = settings.load_interval;
  options.load_timeout = settings.load_timeout;
  options.report_timeout = settings.engine_poll_interval * 3 + settings.engine_timeout;
  return options;
}

std::unique_ptr<store::platform_store> MakeStore(const settings::control_settings& settings) {
  const auto address = socket_address::Make(settings.platform_address);
  if (!address) {
    return nullptr;
  }
  return store::http_platform_store::Make({address->ip, address->port,
                                           settings.platform_connect_timeout,
                                           settings.platform_read_timeout});
}

/** Unique per start, so that a restarted process does not mistake an old lease for its own. */
std::string MakeHolderName(const settings::control_settings& settings, const clock& time) {
  return fmt::format("{}/{}", settings.vm_name, time.WallNow().time_since_epoch().count());
}

}  // namespace

struct control_process::state {
  state(settings::control_settings control_settings, const clock& time_source)
      : settings(std::move(control_settings)),
        time(time_source),
        store(MakeStore(settings)),
        keeper(MakeHolderName(settings, time_source), MakeLeaseOptions(settings)),
        reconciler(MakeReconcileOptions(settings)),
        engines(settings.engine_timeout),
        workers(kEngineThreadCount) {}

  /** Waits for the interval or until `Stop` is called. @return false once the process stops. */
  bool SleepUnlessStopping(milliseconds interval) {
    std::unique_lock lock(stop_mutex);
    return !stop_or_timeout.wait_for(lock, interval, [this] { return stopping; });
  }

  void RunLeaseLoop();
  void PerformLeaseCall(const control::lease_call& call);
  void ReportLeaseChange();
  void RunDocumentLoop();
  void RunReconcileLoop();
  void RestoreRollouts();
  void PollEngines(time_point now);
  void SendOrders(time_point now);
  void SendOrder(const control::engine_order& order);
  void RecordRollouts(time_point now);
  std::string FindEndpointAddress(const endpoint_name& endpoint) const;
  void RegisterHealthHandlers();

  const settings::control_settings settings;
  const clock& time;
  metrics counters;
  std::unique_ptr<store::platform_store> store;

  mutable std::mutex lease_mutex;
  control::lease_keeper keeper;
  bool lease_was_held = false;

  document::document_replica documents;

  std::mutex reconcile_mutex;
  control::order_reconciler reconciler;
  std::map<endpoint_name, time_point> next_poll_times;
  std::set<endpoint_name> polls_in_flight;
  std::map<std::string, control::rollout_record> recorded_rollouts;
  /** Fencing number of the lease term for which the reconciler was last reset. */
  std::uint64_t reconciler_fencing_number = 0;
  /** Reset by the document thread, since a new document version starts a new rollout. */
  std::atomic<bool> rollouts_restored = false;

  const engine_client engines;
  thread_pool workers;

  httplib::Server health_server;
  int port = 0;

  std::mutex stop_mutex;
  std::condition_variable stop_or_timeout;
  bool stopping = false;
  bool stopped = false;
  std::vector<std::thread> threads;
};

void control_process::state::RunLeaseLoop() {
  const auto advance_lease = [this] {
    std::optional<control::lease_call> call;
    {
      std::lock_guard lock(lease_mutex);
      call = keeper.NextCall(time.Now());
    }
    if (call) {
      PerformLeaseCall(*call);
    }
    ReportLeaseChange();
  };
  while (SleepUnlessStopping(kLeasePollInterval)) {
    advance_lease();
  }
  {
    std::lock_guard lock(lease_mutex);
    keeper.Resign();
  }
  const time_point deadline = time.Now() + kResignTimeout;
  while (time.Now() < deadline && !keeper.HasResigned()) {
    advance_lease();
    std::this_thread::sleep_for(kLeasePollInterval);
  }
}

void control_process::state::PerformLeaseCall(const control::lease_call& call) {
  counters.Counter("tarragon_lease_calls_total").Add();
  if (const auto* write = std::get_if<control::write_lease>(&call)) {
    const auto result = store->Commit(
        {{{kLeaseKey, write->expected_version}}, {{kLeaseKey, write->record.Encode()}}});
    std::lock_guard lock(lease_mutex);
    if (result.has_error()) {
      keeper.OnWritten(time.Now(), result.error());
    } else if (result.value().empty()) {
      keeper.OnWritten(time.Now(), store::store_error::kBadAnswer);
    } else {
      keeper.OnWritten(time.Now(), result.value().front());
    }
    return;
  }
  const auto result = store->Read(kLeaseKey);
  std::lock_guard lock(lease_mutex);
  keeper.OnRead(time.Now(), result);
}

void control_process::state::ReportLeaseChange() {
  std::lock_guard lock(lease_mutex);
  const bool held = keeper.IsHeldFor(time.Now(), duration::zero());
  if (held == lease_was_held) {
    return;
  }
  lease_was_held = held;
  counters.Gauge("tarragon_lease_held").Set(held ? 1 : 0);
  LogEvent(held ? "lease_acquired" : "lease_lost", {{"fencing_number", keeper.fencing_number()}});
}

void control_process::state::RunDocumentLoop() {
  store::document_service service(*store, {});
  while (SleepUnlessStopping(kDocumentPollInterval)) {
    const auto head = service.ReadHead();
    if (head.has_error()) {
      continue;
    }
    const document::document_ptr current = documents.Current();
    if (current && head.value().version <= current->version()) {
      continue;
    }
    const auto loaded = service.LoadDocument();
    if (loaded.has_error() ||
        documents.Offer(time.Now(), loaded.value()) != document::offer_outcome::kAdopted) {
      continue;
    }
    counters.Gauge("tarragon_document_version")
        .Set(static_cast<std::int64_t>(loaded.value()->version()));
    LogEvent("document_in_force", {{"version", loaded.value()->version()}});
    std::lock_guard lock(reconcile_mutex);
    reconciler.OnDocument(loaded.value());
    rollouts_restored = false;
  }
}

void control_process::state::RunReconcileLoop() {
  while (SleepUnlessStopping(kReconcileInterval)) {
    const time_point now = time.Now();
    std::uint64_t fencing_number = 0;
    {
      std::lock_guard lock(lease_mutex);
      if (!keeper.IsHeldFor(now, duration::zero())) {
        continue;
      }
      fencing_number = keeper.fencing_number();
    }
    if (!documents.Current()) {
      continue;
    }
    if (fencing_number != reconciler_fencing_number) {
      reconciler_fencing_number = fencing_number;
      std::lock_guard lock(reconcile_mutex);
      reconciler.Reset();
      recorded_rollouts.clear();
      rollouts_restored = false;
    }
    if (!rollouts_restored) {
      RestoreRollouts();
      continue;
    }
    PollEngines(now);
    SendOrders(now);
    RecordRollouts(now);
  }
}

void control_process::state::RestoreRollouts() {
  // A rollout stopped by an earlier lease holder stays stopped, so records are read before orders.
  const auto rows = store->Scan(kRolloutPrefix);
  if (rows.has_error()) {
    return;
  }
  std::lock_guard lock(reconcile_mutex);
  for (const store::row& row : rows.value()) {
    if (const auto record = control::rollout_record::Decode(row.value)) {
      reconciler.RestoreFailures(*record);
    }
  }
  rollouts_restored = true;
}

void control_process::state::PollEngines(time_point now) {
  const document::document_ptr document = documents.Current();
  for (const document::endpoint_settings& endpoint : document->contents().endpoints) {
    const document::service_settings* service = document->FindService(endpoint.service);
    if (service == nullptr || service->kind != document::service_kind::kModel) {
      continue;
    }
    {
      std::lock_guard lock(reconcile_mutex);
      if (now < next_poll_times[endpoint.name] || polls_in_flight.contains(endpoint.name)) {
        continue;
      }
      next_poll_times[endpoint.name] = now + settings.engine_poll_interval;
      polls_in_flight.insert(endpoint.name);
    }
    const bool started = workers.TryRun([this, name = endpoint.name, address = endpoint.address] {
      const auto report = engines.ReadReport(name, address);
      counters.Counter("tarragon_engine_reads_total").Add();
      std::lock_guard lock(reconcile_mutex);
      polls_in_flight.erase(name);
      if (report) {
        reconciler.OnReport(time.Now(), *report);
      }
    });
    if (!started) {
      std::lock_guard lock(reconcile_mutex);
      polls_in_flight.erase(endpoint.name);
    }
  }
}

void control_process::state::SendOrders(time_point now) {
  std::vector<control::engine_order> orders;
  {
    std::lock_guard lock(reconcile_mutex);
    orders = reconciler.NextOrders(now, reconciler_fencing_number);
  }
  for (const control::engine_order& order : orders) {
    const bool started = workers.TryRun([this, order] { SendOrder(order); });
    if (!started) {
      std::lock_guard lock(reconcile_mutex);
      reconciler.OnOrderResult(time.Now(), order, control::order_result::kUnknown);
    }
  }
}

void control_process::state::SendOrder(const control::engine_order& order) {
  const std::string address = FindEndpointAddress(order.endpoint);
  bool may_send = false;
  {
    std::lock_guard lock(lease_mutex);
    // Checks the lease right before the send: the process may have been paused since planning.
    may_send = keeper.IsHeldFor(time.Now(), settings.engine_timeout) &&
               keeper.fencing_number() == order.fencing_number;
  }
  auto result = control::order_result::kUnknown;
  if (may_send && !address.empty()) {
    result = engines.SendOrder(order, address);
    counters.Counter("tarragon_orders_sent_total").Add();
  } else {
    counters.Counter("tarragon_orders_withheld_total").Add();
  }
  std::lock_guard lock(reconcile_mutex);
  reconciler.OnOrderResult(time.Now(), order, result);
}

void control_process::state::RecordRollouts(time_point now) {
  std::vector<control::rollout_record> rollouts;
  {
    std::lock_guard lock(reconcile_mutex);
    rollouts = reconciler.Rollouts(now);
  }
  for (const control::rollout_record& record : rollouts) {
    const auto previous = recorded_rollouts.find(record.model);
    if (previous != recorded_rollouts.end() && previous->second == record) {
      continue;
    }
    const std::string key = kRolloutPrefix + record.model;
    const auto row = store->Read(key);
    if (row.has_error() && row.error() != store::store_error::kNotFound) {
      return;
    }
    const std::uint64_t version = row.has_error() ? 0 : row.value().version;
    if (store->Commit({{{key, version}}, {{key, record.Encode()}}}).has_error()) {
      return;
    }
    const bool state_changed =
        previous == recorded_rollouts.end() || previous->second.state != record.state;
    if (state_changed) {
      LogEvent("rollout", {{"model", record.model},
                           {"version", record.version},
                           {"state", control::ToString(record.state)},
                           {"failures", record.failures},
                           {"reason", record.reason}});
    }
    recorded_rollouts[record.model] = record;
  }
}

std::string control_process::state::FindEndpointAddress(const endpoint_name& endpoint) const {
  const document::document_ptr document = documents.Current();
  const document::endpoint_settings* found = document ? document->FindEndpoint(endpoint) : nullptr;
  return found == nullptr ? std::string() : found->address;
}

void control_process::state::RegisterHealthHandlers() {
  health_server.Get("/healthz", [](const httplib::Request&, httplib::Response& response) {
    response.set_content("ok\n", "text/plain");
  });
  health_server.Get("/readyz", [this](const httplib::Request&, httplib::Response& response) {
    response.status = documents.Current() ? 200 : 503;
    response.set_content(documents.Current() ? "ready\n" : "no document\n", "text/plain");
  });
  health_server.Get("/metrics", [this](const httplib::Request&, httplib::Response& response) {
    response.set_content(counters.Expose(), "text/plain; version=0.0.4");
  });
}

control_process::control_process(settings::control_settings settings, const clock& time)
    : state_(std::make_unique<state>(std::move(settings), time)) {}

control_process::~control_process() {
  Stop();
}

bool control_process::Start() {
  const auto address = socket_address::Make(state_->settings.listen_address);
  if (!address || !state_->store) {
    return false;
  }
  state_->port = address->port;
  if (address->port == 0) {
    state_->port = state_->health_server.bind_to_any_port(address->ip);
  } else if (!state_->health_server.bind_to_port(address->ip, address->port)) {
    LogEvent("bind_failed", {{"address", address->ToString()}});
    return false;
  }
  state_->RegisterHealthHandlers();
  state_->threads.emplace_back([this] { state_->health_server.listen_after_bind(); });
  state_->threads.emplace_back([this] { state_->RunLeaseLoop(); });
  state_->threads.emplace_back([this] { state_->RunDocumentLoop(); });
  state_->threads.emplace_back([this] { state_->RunReconcileLoop(); });
  return true;
}

bool control_process::HoldsLease() const {
  std::lock_guard lock(state_->lease_mutex);
  return state_->keeper.IsHeldFor(state_->time.Now(), duration::zero());
}

int control_process::health_port() const {
  return state_->port;
}

void control_process::Stop() {
  if (std::exchange(state_->stopped, true)) {
    return;
  }
  {
    std::lock_guard lock(state_->stop_mutex);
    state_->stopping = true;
  }
  state_->stop_or_timeout.notify_all();
  state_->health_server.stop();
  std::ranges::for_each(state_->threads, &std::thread::join);
  state_->workers.Stop();
}

metrics& control_process::counters() {
  return state_->counters;
}

}  // namespace tarragon::net
