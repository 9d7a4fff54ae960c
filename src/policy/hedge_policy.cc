#include "tarragon/policy/hedge_policy.h"

#include <algorithm>

#include "tarragon/policy/retry_budget.h"

namespace tarragon::policy {

namespace {

/** Latencies in milliseconds, from 0.1 ms to 100 s; each bin is 9% wide. */
constexpr decaying_histogram::options kHistogramOptions{.lowest = 0.1,
                                                        .highest = 100000,
                                                        .bins = 160,
                                                        .halving_weight = 2048};

// One sample among about 1000 barely moves the quantile, so it is not recomputed for each.
constexpr std::uint32_t kSamplesPerUpdate = 16;

using milliseconds = std::chrono::duration<double, std::milli>;

}  // namespace

hedge_policy::class_latency::class_latency() : samples(kHistogramOptions) {}

hedge_policy::hedge_policy(hedge_options options) : options_(options) {}

void hedge_policy::Record(std::string_view request_class, duration latency) {
  auto found = latencies_.find(request_class);
  if (found == latencies_.end()) {
    found = latencies_.try_emplace(std::string(request_class)).first;
  }
  class_latency& class_state = found->second;
  class_state.samples.Record(milliseconds(latency).count());
  class_state.samples_since_update += 1;
  const bool has_enough_samples = class_state.samples.Weight() >= options_.min_samples;
  if (has_enough_samples &&
      (!class_state.delay || class_state.samples_since_update >= kSamplesPerUpdate)) {
    const milliseconds quantile{class_state.samples.QuantileAbove(0, options_.quantile)};
    class_state.delay =
        std::max(std::chrono::duration_cast<duration>(quantile), options_.min_delay);
    class_state.samples_since_update = 0;
  }
}

std::optional<duration> hedge_policy::Delay(std::string_view request_class) const {
  const auto found = latencies_.find(request_class);
  return found == latencies_.end() ? std::nullopt : found->second.delay;
}

bool hedge_policy::ShouldHedge(const hedge_context& context, retry_budget& budget) const {
  if (!context.repeatable || context.attempts_in_flight != 1 || context.tokens_received > 0) {
    return false;
  }
  const std::optional<duration> delay = Delay(context.request_class);
  return delay && context.elapsed > *delay && context.time_left > duration::zero() &&
         budget.TryTake();
}

}  // namespace tarragon::policy
