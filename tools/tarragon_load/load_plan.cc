#include "load_plan.h"

#include <algorithm>
#include <cmath>
#include <random>

namespace tarragon::load {

namespace {

double ToSeconds(offset time) {
  return std::chrono::duration<double>(time).count();
}

void AddArrivals(const plan_options& options,
                 request_kind kind,
                 std::vector<planned_request>& plan) {
  const kind_load& load = options.kinds[static_cast<std::size_t>(kind)];
  if (load.rate <= 0) {
    return;
  }
  // Draws arrivals at the maximum rate, then thins them to the demand at their time.
  const double max_demand = std::max(options.demand.base, options.demand.peak);
  std::mt19937_64 random(options.seed * kRequestKinds + static_cast<std::uint64_t>(kind));
  std::exponential_distribution<double> interarrival_s(load.rate * max_demand);
  std::uniform_real_distribution<double> thinning(0, max_demand);
  std::lognormal_distribution<double> length(std::log(std::max(load.median_tokens, 1U)),
                                             options.sigma);
  std::vector<double> weights(options.accounts);
  for (std::uint32_t i = 0; i < options.accounts; ++i) {
    weights[i] = 1.0 / (i + 1);
  }
  std::discrete_distribution<std::uint32_t> account(weights.begin(), weights.end());
  for (double time = interarrival_s(random); time < ToSeconds(options.length);
       time += interarrival_s(random)) {
    planned_request request{
        .due = std::chrono::duration_cast<offset>(std::chrono::duration<double>(time)),
        .kind = kind,
        .account = account(random)};
    const double tokens = std::clamp(length(random), 1.0, 2.0 * std::max(load.median_tokens, 1U));
    request.tokens = load.median_tokens == 0 ? 0 : static_cast<std::uint32_t>(std::lround(tokens));
    if (thinning(random) <= options.demand.DemandAt(request.due)) {
      plan.push_back(request);
    }
  }
}

}  // namespace

double demand_shape::DemandAt(offset time) const {
  if (time < ramp_start || time >= ramp_start + ramp + peak_hold) {
    return base;
  }
  const double progress = ramp.count() == 0 ? 1.0 : ToSeconds(time - ramp_start) / ToSeconds(ramp);
  return base + (peak - base) * std::min(progress, 1.0);
}

std::vector<planned_request> MakePlan(const plan_options& options) {
  std::vector<planned_request> plan;
  for (std::size_t kind = 0; kind < kRequestKinds; ++kind) {
    AddArrivals(options, static_cast<request_kind>(kind), plan);
  }
  std::ranges::stable_sort(plan, {}, &planned_request::due);
  for (std::uint32_t i = 0; i < plan.size(); ++i) {
    plan[i].number = i;
    plan[i].entry = i % std::max(options.entries, 1U);
  }
  return plan;
}

std::string_view ToString(request_kind kind) {
  switch (kind) {
    case request_kind::kRead:
      return "read";
    case request_kind::kShort:
      return "short";
    case request_kind::kLong:
      return "long";
    case request_kind::kUnrepeatable:
      return "once";
  }
  return "unknown";
}

}  // namespace tarragon::load
