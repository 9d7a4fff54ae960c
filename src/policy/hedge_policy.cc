#include "tarragon/policy/hedge_policy.h"

#include <algorithm>

#include "tarragon/policy/retry_budget.h"

namespace tarragon::policy {

namespace {

/** Milliseconds from 0.1 ms to 100 s, each bin 9% wide. */
constexpr decaying_histogram::shape kLatencyShape{.lowest = 0.1,
                                                  .highest = 100000,
                                                  .bins = 160,
                                                  .halve_at = 2048};

using milliseconds = std::chrono::duration<double, std::milli>;

}  // namespace

hedge_policy::hedge_policy(hedge_options options) : options_(options) {}

void hedge_policy::Record(std::string_view request_class, duration latency) {
  auto found = latencies_.find(request_class);
  if (found == latencies_.end()) {
    found = latencies_.try_emplace(std::string(request_class), kLatencyShape).first;
  }
  found->second.Record(milliseconds(latency).count());
}

std::optional<duration> hedge_policy::Delay(std::string_view request_class) const {
  const auto found = latencies_.find(request_class);
  if (found == latencies_.end() || found->second.Weight() < options_.min_samples) {
    return std::nullopt;
  }
  const milliseconds quantile{found->second.QuantileAbove(0, options_.quantile)};
  return std::max(std::chrono::duration_cast<duration>(quantile), options_.min_delay);
}

bool hedge_policy::ShouldHedge(const hedge_facts& facts, retry_budget& budget) const {
  if (!facts.repeatable || facts.attempts_in_flight != 1 || facts.tokens_received > 0) {
    return false;
  }
  const std::optional<duration> delay = Delay(facts.request_class);
  return delay && facts.waited > *delay && facts.left > duration::zero() && budget.TryTake();
}

}  // namespace tarragon::policy
