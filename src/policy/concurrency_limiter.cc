#include "tarragon/policy/concurrency_limiter.h"

#include <algorithm>
#include <cmath>

#include "tarragon/base/invariant.h"

namespace tarragon::policy {

namespace {

// Weight of one sample in the moving average of the latency, which covers about ten samples.
constexpr double kRecentLatencyWeight = 0.1;
// Growth of the lowest latency per sample, so that a lasting change of load becomes the new
// baseline within about 1000 samples.
constexpr double kLowestLatencyGrowth = 1.001;
// Share of the distance to the target limit that one sample covers.
constexpr double kLimitStepShare = 0.1;
constexpr double kMinGradient = 0.5;
constexpr double kDeclineFactor = 0.9;

}  // namespace

concurrency_limiter::concurrency_limiter(concurrency_limiter_options options) : options_(options) {}

concurrency_limiter::endpoint_limit& concurrency_limiter::GetOrAddEndpoint(
    endpoint_index endpoint) {
  if (endpoint >= endpoints_.size()) {
    endpoints_.resize(endpoint + 1, {.limit = options_.initial_limit});
  }
  return endpoints_[endpoint];
}

double concurrency_limiter::MaxLimit(const endpoint_limit& state) const {
  return state.slots == 0 ? options_.max_limit : std::min<double>(state.slots, options_.max_limit);
}

std::uint32_t concurrency_limiter::EffectiveLimit(const endpoint_limit& state) const {
  return static_cast<std::uint32_t>(std::max(std::min(state.limit, MaxLimit(state)), 1.0));
}

void concurrency_limiter::SetSlots(endpoint_index endpoint, std::uint32_t slots) {
  endpoint_limit& state = GetOrAddEndpoint(endpoint);
  // The first report replaces the initial limit; after that the observed latencies set the limit.
  if (state.slots == 0 && slots > 0 && state.recent_latency_s == 0) {
    state.limit = slots;
  }
  state.slots = slots;
  state.limit =
      std::clamp(state.limit, options_.min_limit, std::max(MaxLimit(state), options_.min_limit));
}

std::uint32_t concurrency_limiter::Limit(endpoint_index endpoint) const {
  return endpoint < endpoints_.size() ? EffectiveLimit(endpoints_[endpoint])
                                      : static_cast<std::uint32_t>(options_.initial_limit);
}

std::uint32_t concurrency_limiter::LongLimit(endpoint_index endpoint) const {
  const double open_to_long = (1 - options_.short_share) * Limit(endpoint);
  return std::max(static_cast<std::uint32_t>(open_to_long), 1U);
}

bool concurrency_limiter::CanAdmit(endpoint_index endpoint,
                                   endpoint_in_flight in_flight,
                                   request_length length) const {
  if (in_flight.total >= Limit(endpoint)) {
    return false;
  }
  return length == request_length::kShort || in_flight.long_requests < LongLimit(endpoint);
}

void concurrency_limiter::RecordLatency(endpoint_index endpoint,
                                        duration latency,
                                        std::uint32_t in_flight) {
  endpoint_limit& state = GetOrAddEndpoint(endpoint);
  const double latency_s = std::max(std::chrono::duration<double>(latency).count(), 1e-6);
  if (state.recent_latency_s == 0) {
    state.recent_latency_s = state.lowest_latency_s = latency_s;
  }
  state.recent_latency_s += kRecentLatencyWeight * (latency_s - state.recent_latency_s);
  state.lowest_latency_s = std::min(state.lowest_latency_s * kLowestLatencyGrowth, latency_s);
  const double gradient =
      std::clamp(options_.latency_tolerance * state.lowest_latency_s / state.recent_latency_s,
                 kMinGradient, 1.0);
  // The square root allows a short queue at the endpoint; without it the limit could never rise.
  const double target_limit = state.limit * gradient + std::sqrt(state.limit);
  if (target_limit > state.limit && 2.0 * in_flight < state.limit) {
    return;
  }
  state.limit = std::clamp(state.limit + kLimitStepShare * (target_limit - state.limit),
                           options_.min_limit, std::max(MaxLimit(state), options_.min_limit));
}

void concurrency_limiter::RecordDecline(endpoint_index endpoint) {
  endpoint_limit& state = GetOrAddEndpoint(endpoint);
  state.limit = std::max(state.limit * kDeclineFactor, options_.min_limit);
}

void concurrency_limiter::Reset(endpoint_index endpoint) {
  GetOrAddEndpoint(endpoint) = {.limit = options_.initial_limit};
}

void concurrency_limiter::Validate() const {
  for (const endpoint_limit& state : endpoints_) {
    TARRAGON_INVARIANT(state.limit >= options_.min_limit, "limit is below min_limit");
    TARRAGON_INVARIANT(state.limit <= std::max(MaxLimit(state), options_.min_limit),
                       "limit exceeds the reported slots or max_limit");
  }
}

}  // namespace tarragon::policy
