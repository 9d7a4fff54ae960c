#include "tarragon/policy/outlier_detector.h"

#include <algorithm>
#include <cmath>

#include "tarragon/base/invariant.h"

namespace tarragon::policy {

namespace {

using seconds = std::chrono::duration<double>;

// Time constant of the smoothed latency. It spans several tokens of a stream at 53 ms per token.
constexpr seconds kSmoothingTime{0.5};
// Bounds of a sample's weight: samples are frequent with many streams and rare at low load.
constexpr double kMinSampleWeight = 0.02;
constexpr double kMaxSampleWeight = 0.4;
// Older latencies say nothing about the endpoint's present speed.
constexpr duration kMaxLatencyAge = std::chrono::seconds(10);
// With fewer endpoints, one of two endpoints would be an outlier relative to the other.
constexpr std::size_t kMinEndpointsForMedian = 3;
// An endpoint that stayed healthy for this long is next ejected for the shortest time again.
constexpr duration kEjectionResetTime = std::chrono::seconds(60);

}  // namespace

outlier_detector::outlier_detector(outlier_options options) : options_(options) {}

outlier_detector::endpoint_state* outlier_detector::FindEndpoint(endpoint_index endpoint) {
  const bool known = endpoint < endpoints_.size() && endpoints_[endpoint].known;
  return known ? &endpoints_[endpoint] : nullptr;
}

const outlier_detector::endpoint_state* outlier_detector::FindEndpoint(
    endpoint_index endpoint) const {
  const bool known = endpoint < endpoints_.size() && endpoints_[endpoint].known;
  return known ? &endpoints_[endpoint] : nullptr;
}

void outlier_detector::Add(endpoint_index endpoint) {
  if (FindEndpoint(endpoint) != nullptr) {
    return;
  }
  if (endpoint >= endpoints_.size()) {
    endpoints_.resize(endpoint + 1);
  }
  endpoints_[endpoint] = {};
  endpoints_[endpoint].known = true;
  endpoint_count_ += 1;
}

void outlier_detector::Remove(endpoint_index endpoint) {
  endpoint_state* state = FindEndpoint(endpoint);
  if (state == nullptr) {
    return;
  }
  if (state->health != endpoint_health::kHealthy) {
    ejected_count_ -= 1;
  }
  *state = {};
  endpoint_count_ -= 1;
  while (ejected_count_ > MaxEjected()) {
    endpoint_state* least_slow = nullptr;
    for (endpoint_state& other : endpoints_) {
      const bool is_ejected = other.known && other.health != endpoint_health::kHealthy;
      if (is_ejected && (least_slow == nullptr || other.factor < least_slow->factor)) {
        least_slow = &other;
      }
    }
    TARRAGON_INVARIANT(least_slow != nullptr,
                       "ejected endpoint count is above its limit but no endpoint is ejected");
    Reinstate(*least_slow);
  }
}

std::size_t outlier_detector::MaxEjected() const {
  return static_cast<std::size_t>(options_.max_ejected_share *
                                  static_cast<double>(endpoint_count_));
}

void outlier_detector::RecordLatency(time_point now,
                                     endpoint_index endpoint,
                                     latency_kind kind,
                                     duration latency) {
  endpoint_state* state = FindEndpoint(endpoint);
  if (state == nullptr) {
    return;
  }
  smoothed_latency& average = state->latency[static_cast<std::size_t>(kind)];
  const double sample = std::max(seconds(latency).count(), 1e-6);
  if (average.samples == 0 || now - average.updated > kMaxLatencyAge) {
    average = {.seconds = sample, .samples = 1, .updated = now};
    return;
  }
  const double weight =
      std::clamp((now - average.updated) / kSmoothingTime, kMinSampleWeight, kMaxSampleWeight);
  average.seconds += weight * (sample - average.seconds);
  average.samples += 1;
  average.updated = now;
}

void outlier_detector::RecordFailure(time_point now, endpoint_index endpoint) {
  endpoint_state* state = FindEndpoint(endpoint);
  if (state == nullptr) {
    return;
  }
  state->consecutive_failures += 1;
  if (state->health == endpoint_health::kHalfOpen) {
    ExtendEjection(now, *state);
  } else if (state->health == endpoint_health::kHealthy &&
             state->consecutive_failures >= options_.consecutive_failures_to_eject) {
    state->factor = options_.max_latency_factor;
    Eject(now, *state);
  }
}

void outlier_detector::RecordSuccess(time_point now, endpoint_index endpoint) {
  endpoint_state* state = FindEndpoint(endpoint);
  if (state == nullptr) {
    return;
  }
  state->consecutive_failures = 0;
  if (state->health != endpoint_health::kHalfOpen || !state->is_probing) {
    return;
  }
  state->is_probing = false;
  if (ComputeLatencyFactor(now, *state, 1) >= options_.recovery_factor) {
    ExtendEjection(now, *state);
    return;
  }
  state->successful_probes += 1;
  if (state->successful_probes >= options_.successful_probes_to_reinstate) {
    Reinstate(*state);
  }
}

bool outlier_detector::Eject(time_point now, endpoint_state& state) {
  if (ejected_count_ + 1 > MaxEjected()) {
    return false;
  }
  if (now - state.ejected_until > kEjectionResetTime) {
    state.ejections = 0;
  }
  ejected_count_ += 1;
  ExtendEjection(now, state);
  return true;
}

void outlier_detector::ExtendEjection(time_point now, endpoint_state& state) {
  duration ejection_time = options_.base_ejection;
  for (std::uint32_t i = 0; i < state.ejections && ejection_time < options_.max_ejection; ++i) {
    ejection_time *= 2;
  }
  state.health = endpoint_health::kEjected;
  state.ejections += 1;
  state.ejected_until = now + std::min(ejection_time, options_.max_ejection);
  state.is_probing = false;
  state.successful_probes = 0;
}

void outlier_detector::Reinstate(endpoint_state& state) {
  TARRAGON_INVARIANT(state.health != endpoint_health::kHealthy,
                     "reinstated endpoint was not ejected");
  state.health = endpoint_health::kHealthy;
  state.consecutive_failures = 0;
  state.is_probing = false;
  state.factor = 1;
  ejected_count_ -= 1;
}

duration outlier_detector::Median(latency_kind kind) const {
  const std::chrono::duration<double> median(median_seconds_[static_cast<std::size_t>(kind)]);
  return std::chrono::duration_cast<duration>(median);
}

void outlier_detector::UpdateMedians(time_point now) {
  for (std::size_t kind = 0; kind < kLatencyKinds; ++kind) {
    latency_scratch_.clear();
    for (const endpoint_state& state : endpoints_) {
      const smoothed_latency& average = state.latency[kind];
      if (state.known && average.samples >= options_.min_samples &&
          now - average.updated <= kMaxLatencyAge) {
        latency_scratch_.push_back(average.seconds);
      }
    }
    median_seconds_[kind] = 0;
    if (latency_scratch_.size() >= kMinEndpointsForMedian) {
      // The lower median is not raised when half of the endpoints are slow.
      const auto middle =
          latency_scratch_.begin() + static_cast<std::ptrdiff_t>((latency_scratch_.size() - 1) / 2);
      std::ranges::nth_element(latency_scratch_, middle);
      median_seconds_[kind] = *middle;
    }
  }
}

double outlier_detector::ComputeLatencyFactor(time_point now,
                                              const endpoint_state& state,
                                              std::uint32_t min_samples) const {
  double factor = 1;
  for (std::size_t kind = 0; kind < kLatencyKinds; ++kind) {
    const smoothed_latency& average = state.latency[kind];
    const bool is_known = average.samples >= min_samples && now - average.updated <= kMaxLatencyAge;
    if (is_known && median_seconds_[kind] > 0) {
      factor = std::max(factor, average.seconds / median_seconds_[kind]);
    }
  }
  return std::min(factor, options_.max_latency_factor);
}

void outlier_detector::Update(time_point now) {
  UpdateMedians(now);
  for (endpoint_state& state : endpoints_) {
    if (!state.known) {
      continue;
    }
    const bool is_failing = state.consecutive_failures >= options_.consecutive_failures_to_eject;
    state.factor = is_failing ? options_.max_latency_factor
                              : ComputeLatencyFactor(now, state, options_.min_samples);
    if (state.health == endpoint_health::kEjected && now >= state.ejected_until) {
      OnEjectionExpired(now, state);
    } else if (state.is_probing && now - state.probe_started >= options_.probe_timeout) {
      ExtendEjection(now, state);
    }
  }
  EjectSlowest(now);
}

void outlier_detector::OnEjectionExpired(time_point now, endpoint_state& state) {
  // Streams that still run on the endpoint show its speed without a probe.
  const bool is_observed = std::ranges::any_of(state.latency, [&](const smoothed_latency& average) {
    return average.samples > 0 && now - average.updated < options_.base_ejection / 2;
  });
  if (is_observed && state.factor >= options_.eject_factor) {
    ExtendEjection(now, state);
    return;
  }
  state.health = endpoint_health::kHalfOpen;
  state.consecutive_failures = 0;
  // Probes are judged only by latencies measured from now on.
  std::ranges::fill(state.latency, smoothed_latency{});
}

void outlier_detector::EjectSlowest(time_point now) {
  while (ejected_count_ < MaxEjected()) {
    endpoint_state* slowest = nullptr;
    for (endpoint_state& state : endpoints_) {
      const bool is_outlier = state.known && state.health == endpoint_health::kHealthy &&
                              state.factor >= options_.eject_factor;
      if (is_outlier && (slowest == nullptr || state.factor > slowest->factor)) {
        slowest = &state;
      }
    }
    if (slowest == nullptr || !Eject(now, *slowest)) {
      return;
    }
  }
}

endpoint_health outlier_detector::Health(endpoint_index endpoint) const {
  const endpoint_state* state = FindEndpoint(endpoint);
  return state == nullptr ? endpoint_health::kHealthy : state->health;
}

bool outlier_detector::CanSend(endpoint_index endpoint) const {
  const endpoint_state* state = FindEndpoint(endpoint);
  return state == nullptr || state->health == endpoint_health::kHealthy ||
         (state->health == endpoint_health::kHalfOpen && !state->is_probing);
}

void outlier_detector::BeginProbe(time_point now, endpoint_index endpoint) {
  endpoint_state* state = FindEndpoint(endpoint);
  if (state != nullptr && state->health == endpoint_health::kHalfOpen) {
    TARRAGON_INVARIANT(!state->is_probing, "half-open endpoint already has a probe");
    state->is_probing = true;
    state->probe_started = now;
  }
}

double outlier_detector::LatencyFactor(endpoint_index endpoint) const {
  const endpoint_state* state = FindEndpoint(endpoint);
  return state == nullptr ? 1 : state->factor;
}

void outlier_detector::Validate() const {
  std::size_t known = 0;
  std::size_t ejected = 0;
  for (const endpoint_state& state : endpoints_) {
    known += state.known ? 1 : 0;
    ejected += state.known && state.health != endpoint_health::kHealthy ? 1 : 0;
    TARRAGON_INVARIANT(!state.is_probing || state.health == endpoint_health::kHalfOpen,
                       "endpoint with a probe is not half-open");
    TARRAGON_INVARIANT(state.factor >= 1 && state.factor <= options_.max_latency_factor,
                       "latency factor is out of range");
  }
  TARRAGON_INVARIANT(known == endpoint_count_, "endpoint count does not match the states");
  TARRAGON_INVARIANT(ejected == ejected_count_, "ejected endpoint count does not match the states");
  TARRAGON_INVARIANT(ejected_count_ <= MaxEjected(),
                     "more endpoints ejected than max_ejected_share allows");
}

}  // namespace tarragon::policy
