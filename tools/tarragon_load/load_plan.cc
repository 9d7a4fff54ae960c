#include "load_plan.h"

#include <algorithm>
#include <cmath>
#include <random>

namespace tarragon::load {

namespace {

double Seconds(offset time) {
  return std::chrono::duration<double>(time).count();
}

void AddKind(const plan_options& options, work_kind kind, std::vector<planned_request>& plan) {
  const kind_load& load = options.kinds[static_cast<std::size_t>(kind)];
  if (load.rate <= 0) {
    return;
  }
  // Arrivals are drawn at the highest rate and thinned to the demand of their time.
  const double highest = std::max(options.demand.base, options.demand.peak);
  std::mt19937_64 random(options.seed * kWorkKinds + static_cast<std::uint64_t>(kind));
  std::exponential_distribution<double> pause(load.rate * highest);
  std::uniform_real_distribution<double> share(0, highest);
  std::lognormal_distribution<double> length(std::log(std::max(load.tokens, 1U)), options.sigma);
  std::vector<double> weights(options.accounts);
  for (std::uint32_t i = 0; i < options.accounts; ++i) {
    weights[i] = 1.0 / (i + 1);
  }
  std::discrete_distribution<std::uint32_t> account(weights.begin(), weights.end());
  for (double time = pause(random); time < Seconds(options.length); time += pause(random)) {
    planned_request request{
        .due = std::chrono::duration_cast<offset>(std::chrono::duration<double>(time)),
        .kind = kind,
        .account = account(random)};
    const double drawn = std::clamp(length(random), 1.0, 2.0 * std::max(load.tokens, 1U));
    request.tokens = load.tokens == 0 ? 0 : static_cast<std::uint32_t>(std::lround(drawn));
    if (share(random) <= options.demand.At(request.due)) {
      plan.push_back(request);
    }
  }
}

}  // namespace

double demand_shape::At(offset time) const {
  if (time < start || time >= start + rise + hold) {
    return base;
  }
  const double risen = rise.count() == 0 ? 1.0 : Seconds(time - start) / Seconds(rise);
  return base + (peak - base) * std::min(risen, 1.0);
}

std::vector<planned_request> MakePlan(const plan_options& options) {
  std::vector<planned_request> plan;
  for (std::size_t kind = 0; kind < kWorkKinds; ++kind) {
    AddKind(options, static_cast<work_kind>(kind), plan);
  }
  std::ranges::stable_sort(plan, {}, &planned_request::due);
  for (std::uint32_t i = 0; i < plan.size(); ++i) {
    plan[i].number = i;
    plan[i].entry = i % std::max(options.entries, 1U);
  }
  return plan;
}

std::string_view ToString(work_kind kind) {
  switch (kind) {
    case work_kind::kRead:
      return "read";
    case work_kind::kShort:
      return "short";
    case work_kind::kLong:
      return "long";
    case work_kind::kOnce:
      return "once";
  }
  return "unknown";
}

}  // namespace tarragon::load
