#include "tarragon/policy/concurrency_limiter.h"

#include <algorithm>
#include <cmath>

#include "tarragon/base/invariant.h"

namespace tarragon::policy {

namespace {

// Weight of one sample in the recent latency: about the last ten samples count.
constexpr double kRecentWeight = 0.1;
// Growth of the lowest latency per sample, so that a lasting change of load becomes the new base
// within about a thousand samples.
constexpr double kLowestDrift = 1.001;
// Part of the way to the new limit that one sample moves.
constexpr double kStep = 0.1;
constexpr double kLargestCut = 0.5;
constexpr double kDeclineCut = 0.9;

}  // namespace

concurrency_limiter::concurrency_limiter(concurrency_limiter_options options) : options_(options) {}

concurrency_limiter::endpoint_limit& concurrency_limiter::Get(endpoint_index endpoint) {
  if (endpoint >= endpoints_.size()) {
    endpoints_.resize(endpoint + 1, {.limit = options_.initial_limit});
  }
  return endpoints_[endpoint];
}

double concurrency_limiter::Cap(const endpoint_limit& state) const {
  return state.slots == 0 ? options_.max_limit : std::min<double>(state.slots, options_.max_limit);
}

std::uint32_t concurrency_limiter::LimitOf(const endpoint_limit& state) const {
  return static_cast<std::uint32_t>(std::max(std::min(state.limit, Cap(state)), 1.0));
}

void concurrency_limiter::SetSlots(endpoint_index endpoint, std::uint32_t slots) {
  endpoint_limit& state = Get(endpoint);
  // The first report replaces the guess; from then on the observations decide.
  if (state.slots == 0 && slots > 0 && state.recent_seconds == 0) {
    state.limit = slots;
  }
  state.slots = slots;
  state.limit =
      std::clamp(state.limit, options_.min_limit, std::max(Cap(state), options_.min_limit));
}

std::uint32_t concurrency_limiter::Limit(endpoint_index endpoint) const {
  return endpoint < endpoints_.size() ? LimitOf(endpoints_[endpoint])
                                      : static_cast<std::uint32_t>(options_.initial_limit);
}

std::uint32_t concurrency_limiter::LongLimit(endpoint_index endpoint) const {
  const double open_to_long = (1 - options_.short_share) * Limit(endpoint);
  return std::max(static_cast<std::uint32_t>(open_to_long), 1U);
}

bool concurrency_limiter::Admits(endpoint_index endpoint,
                                 endpoint_in_flight in_flight,
                                 work_length length) const {
  if (in_flight.total >= Limit(endpoint)) {
    return false;
  }
  return length == work_length::kShort || in_flight.long_work < LongLimit(endpoint);
}

void concurrency_limiter::RecordLatency(endpoint_index endpoint,
                                        duration latency,
                                        std::uint32_t in_flight) {
  endpoint_limit& state = Get(endpoint);
  const double sample = std::max(std::chrono::duration<double>(latency).count(), 1e-6);
  if (state.recent_seconds == 0) {
    state.recent_seconds = state.lowest_seconds = sample;
  }
  state.recent_seconds += kRecentWeight * (sample - state.recent_seconds);
  state.lowest_seconds = std::min(state.lowest_seconds * kLowestDrift, sample);
  const double gradient = std::clamp(
      options_.tolerance * state.lowest_seconds / state.recent_seconds, kLargestCut, 1.0);
  // The square root leaves room for a short queue, without which the limit could not rise.
  const double wanted = state.limit * gradient + std::sqrt(state.limit);
  if (wanted > state.limit && 2.0 * in_flight < state.limit) {
    return;
  }
  state.limit = std::clamp(state.limit + kStep * (wanted - state.limit), options_.min_limit,
                           std::max(Cap(state), options_.min_limit));
}

void concurrency_limiter::RecordDecline(endpoint_index endpoint) {
  endpoint_limit& state = Get(endpoint);
  state.limit = std::max(state.limit * kDeclineCut, options_.min_limit);
}

void concurrency_limiter::Reset(endpoint_index endpoint) {
  Get(endpoint) = {.limit = options_.initial_limit};
}

void concurrency_limiter::Validate() const {
  for (const endpoint_limit& state : endpoints_) {
    TARRAGON_INVARIANT(state.limit >= options_.min_limit, "limit below its minimum");
    TARRAGON_INVARIANT(state.limit <= std::max(Cap(state), options_.min_limit),
                       "limit above the reported slots");
  }
}

}  // namespace tarragon::policy
