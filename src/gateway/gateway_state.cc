#include "tarragon/gateway/gateway_state.h"

#include <malloc.h>

#include <algorithm>
#include <asio/post.hpp>
#include <cstdint>
#include <ranges>

namespace tarragon::gateway {

gateway_state::gateway_state(asio::io_context& event_loop,
                             const clock& clock_source,
                             const platform_adapter& platform,
                             event_log& event_logger,
                             metrics& metrics_registry)
    : loop(event_loop),
      time(clock_source),
      adapter(platform),
      log(event_logger),
      counters(metrics_registry) {}

void gateway_state::SetBudgetOptions(const routing::send_budget_options& options) {
  budget_options_ = options;
  for (auto& [service, budget] : budgets_) {
    budget.SetAllowance(options.share, options.slack);
  }
}

routing::send_budget& gateway_state::Budget(const std::string& service) {
  return budgets_.try_emplace(service, budget_options_).first->second;
}

bool gateway_state::TakeBudget(const std::string& service) {
  return Budget(service).TryTake(time.Now(), daemons);
}

bool gateway_state::HasBudget(const std::string& service) {
  return Budget(service).Remaining(time.Now(), daemons) >= 1;
}

void gateway_state::ReportUnexpectedError(std::string_view part, const std::exception& error) {
  counters.Counter("tarragon_gateway_unexpected_errors_total").Add();
  log.LogState("unexpected_error", {{"part", part}, {"error", error.what()}});
}

void gateway_state::RecordRefused(const routing::endpoint& refusing) {
  evidence.RecordRefused(time.Now(), refusing);
  counters.Counter("tarragon_gateway_endpoint_evidence_total", R"(kind="refused",source="own")")
      .Add();
  ApplyEvidence();
}

void gateway_state::RecordAnswer(routing::endpoint& responding) {
  if (evidence.RecordAnswer(time.Now(), responding)) {
    counters.Counter("tarragon_gateway_endpoint_evidence_total", R"(kind="answers",source="own")")
        .Add();
    ApplyEvidence();
  }
}

void gateway_state::MergeEvidence(std::span<const routing::endpoint_statement> statements) {
  const std::size_t added = evidence.Merge(time.Now(), statements);
  if (added > 0) {
    counters.Counter("tarragon_gateway_endpoint_evidence_total", R"(source="daemon")").Add(added);
    ApplyEvidence();
  }
}

void gateway_state::ApplyEvidence() {
  evidence.Apply(time.Now(), endpoints);
  if (on_evidence) {
    on_evidence();
  }
}

void gateway_state::UpdateOrigins() {
  versions.Apply(time.Now(), endpoints);
  std::erase_if(mixed_services_, [this](const std::string& service) {
    return !versions.HasResumableStreams(service);
  });
  for (const std::string& service : versions.services()) {
    if (!versions.IsMixed(service)) {
      mixed_services_.erase(service);
    } else if (mixed_services_.insert(service).second) {
      origins.ShareAll(service);
    }
  }
  if (on_origins) {
    on_origins();
  }
}

void gateway_state::RecordOrigin(const routing::stream_origin& origin, time_point keep_until) {
  const bool is_mixed = IsMixed(origin.version.service);
  origins.Record(origin, keep_until, is_mixed);
  if (is_mixed && on_origins) {
    on_origins();
  }
}

time_point gateway_state::NextHousekeeping(std::chrono::milliseconds interval) const {
  const time_point now = time.Now();
  const time_point next = now + interval;
  const time_point removal = endpoints.NextRemoval().value_or(next);
  return removal > now ? std::min(next, removal) : next;
}

void gateway_state::KeepHouse() {
  const time_point now = time.Now();
  origins.Expire(now);
  origins.Validate();
  versions.Validate();
  UpdateOrigins();
  evidence.Expire(now);
  evidence.Apply(now, endpoints);
  evidence.Validate();
  endpoints.RemoveMissing(now);
  endpoints.EndColdStarts(now);
  endpoints.ValidateChanges();
  endpoints.evacuations().Validate();
  quarantine.Expire(now);
  quarantine.Validate();
  const auto set = [this](const char* gauge, auto value) {
    counters.Gauge(gauge).Set(static_cast<std::int64_t>(value));
  };
  std::size_t limited = 0;
  std::size_t leaving = 0;
  std::size_t paused = 0;
  std::size_t evacuated = 0;
  std::size_t cold = 0;
  std::size_t unreachable = 0;
  for (const routing::endpoint_ptr& known : endpoints.all() | std::views::values) {
    limited += known->limit.is_limited() ? 1 : 0;
    leaving += known->leaving ? 1 : 0;
    paused += known->pause.IsPaused(now) ? 1 : 0;
    evacuated += known->evacuated ? 1 : 0;
    cold += known->limit.is_cold() ? 1 : 0;
    unreachable += known->unreachable ? 1 : 0;
  }
  set("tarragon_gateway_limited_endpoints", limited);
  set("tarragon_gateway_leaving_endpoints", leaving);
  set("tarragon_gateway_paused_endpoints", paused);
  set("tarragon_gateway_evacuated_endpoints", evacuated);
  set("tarragon_gateway_cold_endpoints", cold);
  set("tarragon_gateway_unreachable_endpoints", unreachable);
  set("tarragon_gateway_used_endpoints", used_endpoints.size());
  set("tarragon_gateway_announced_versions", versions.announced_count());
  set("tarragon_gateway_known_streams", origins.size());
  set("tarragon_gateway_unwritten_origins", origins.unwritten_count());
  set("tarragon_gateway_quarantined_traits", quarantine.quarantined_count());
  set("tarragon_gateway_evacuated_domains", endpoints.evacuations().evacuated_count());
  set("tarragon_gateway_open_requests", open_requests.size());
  set("tarragon_gateway_unsent_connections", unsent_connections);
  set("tarragon_gateway_config_version", config ? config->version() : 0);
  set("tarragon_gateway_log_lines_dropped", log.dropped());
  KeepMemory();
}

memory_budget::connection_id gateway_state::OpenAccount(memory_holder& holder) {
  const memory_budget::connection_id id = memory.Open(time.Now());
  memory_holders_.emplace(id, &holder);
  ScheduleRelief();
  return id;
}

void gateway_state::CloseAccount(memory_budget::connection_id id) {
  memory.Close(id);
  memory_holders_.erase(id);
}

void gateway_state::UpdateAccount(memory_budget::connection_id id, const held_memory& held) {
  memory.Update(id, held, time.Now());
  peak_held_bytes_ = std::max(peak_held_bytes_, memory.held_bytes());
  ScheduleRelief();
}

void gateway_state::ScheduleRelief() {
  if (!memory.IsExceeded() || std::exchange(relief_scheduled_, true)) {
    return;
  }
  asio::post(loop, [this] {
    relief_scheduled_ = false;
    RunGuarded("memory", [this] { RelieveMemory(); });
  });
}

void gateway_state::RelieveMemory() {
  for (const memory_budget::connection_id id : memory.ChooseToClose(time.Now())) {
    // A connection may end while an earlier one gives way.
    if (const auto holder = memory_holders_.find(id); holder != memory_holders_.end()) {
      counters.Counter("tarragon_gateway_connections_given_up_total").Add();
      holder->second->GiveWay();
    }
  }
}

void gateway_state::KeepMemory() {
  constexpr std::size_t kTrimBytes = std::size_t{8} << 20;
  const std::size_t held = memory.held_bytes();
  counters.Gauge("tarragon_gateway_held_bytes").Set(static_cast<std::int64_t>(held));
  counters.Gauge("tarragon_gateway_caller_connections")
      .Set(static_cast<std::int64_t>(memory.connections()));
  if (std::exchange(logged_memory_state_, memory.state()) != memory.state()) {
    log.LogState("memory_state",
                 {{"state", memory.state() == memory_state::kScarce ? "scarce" : "calm"},
                  {"held_bytes", held},
                  {"connections", memory.connections()}});
  }
  if (peak_held_bytes_ >= held + kTrimBytes) {
    // The heap keeps free pages between allocations that are still in use.
    ::malloc_trim(0);
    peak_held_bytes_ = held;
  }
}

const routing::generation_pace& gateway_state::PaceOf(const std::string& service) const {
  static const routing::generation_pace kUnknown;
  const auto found = paces.find(service);
  return found == paces.end() ? kUnknown : found->second;
}

std::chrono::milliseconds gateway_state::TimeUntilExit() const {
  return std::chrono::floor<std::chrono::milliseconds>(exit_at - time.Now());
}

}  // namespace tarragon::gateway
