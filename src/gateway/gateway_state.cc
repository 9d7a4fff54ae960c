#include "tarragon/gateway/gateway_state.h"

#include <algorithm>
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
      counters(metrics_registry),
      capacity_queue(event_loop, metrics_registry) {}

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

void gateway_state::KeepHouse() {
  const time_point now = time.Now();
  endpoints.RemoveMissing(now);
  endpoints.Validate();
  quarantine.Expire(now);
  quarantine.Validate();
  const auto set_count = [this](const char* gauge, auto predicate) {
    counters.Gauge(gauge).Set(
        std::ranges::count_if(endpoints.all() | std::views::values, predicate));
  };
  using routing::endpoint_ptr;
  set_count("tarragon_gateway_limited_endpoints",
            [](const endpoint_ptr& known) { return known->limit.is_limited(); });
  set_count("tarragon_gateway_leaving_endpoints",
            [](const endpoint_ptr& known) { return known->leaving; });
  set_count("tarragon_gateway_paused_endpoints",
            [now](const endpoint_ptr& known) { return known->pause.IsPaused(now); });
  const auto set = [this](const char* gauge, auto value) {
    counters.Gauge(gauge).Set(static_cast<std::int64_t>(value));
  };
  set("tarragon_gateway_quarantined_traits", quarantine.quarantined_count());
  set("tarragon_gateway_open_requests", open_requests.size());
  set("tarragon_gateway_unsent_connections", unsent_connections);
  set("tarragon_gateway_config_version", config ? config->version() : 0);
  set("tarragon_gateway_log_lines_dropped", log.dropped());
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
