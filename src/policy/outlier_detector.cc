#include "tarragon/policy/outlier_detector.h"

#include <algorithm>
#include <cmath>

#include "tarragon/base/invariant.h"

namespace tarragon::policy {

namespace {

using seconds = std::chrono::duration<double>;

// Time constant of the smoothed latency. It spans several tokens of one stream at 53 ms a token.
constexpr seconds kSmoothing{0.5};
// Bounds of one sample's weight: many streams give frequent samples, a quiet endpoint rare ones.
constexpr double kMinSampleWeight = 0.02;
constexpr double kMaxSampleWeight = 0.4;
// Older observations say nothing of the endpoint's present speed.
constexpr duration kStaleAfter = std::chrono::seconds(10);
// A median of fewer endpoints would make one of two endpoints an outlier of the other.
constexpr std::size_t kMinPeers = 3;
// An endpoint that stayed healthy for this long starts again with the shortest ejection.
constexpr duration kForgetEjections = std::chrono::seconds(60);

}  // namespace

outlier_detector::outlier_detector(outlier_options options) : options_(options) {}

outlier_detector::endpoint_state* outlier_detector::Find(endpoint_index endpoint) {
  const bool known = endpoint < endpoints_.size() && endpoints_[endpoint].known;
  return known ? &endpoints_[endpoint] : nullptr;
}

const outlier_detector::endpoint_state* outlier_detector::Find(endpoint_index endpoint) const {
  const bool known = endpoint < endpoints_.size() && endpoints_[endpoint].known;
  return known ? &endpoints_[endpoint] : nullptr;
}

void outlier_detector::Add(endpoint_index endpoint) {
  if (Find(endpoint) != nullptr) {
    return;
  }
  if (endpoint >= endpoints_.size()) {
    endpoints_.resize(endpoint + 1);
  }
  endpoints_[endpoint] = {};
  endpoints_[endpoint].known = true;
  known_count_ += 1;
}

void outlier_detector::Remove(endpoint_index endpoint) {
  endpoint_state* state = Find(endpoint);
  if (state == nullptr) {
    return;
  }
  if (state->health != endpoint_health::kHealthy) {
    ejected_count_ -= 1;
  }
  *state = {};
  known_count_ -= 1;
  while (ejected_count_ > MaxEjected()) {
    endpoint_state* mildest = nullptr;
    for (endpoint_state& other : endpoints_) {
      const bool is_ejected = other.known && other.health != endpoint_health::kHealthy;
      if (is_ejected && (mildest == nullptr || other.factor < mildest->factor)) {
        mildest = &other;
      }
    }
    TARRAGON_INVARIANT(mildest != nullptr, "count of ejected endpoints is wrong");
    Return(*mildest);
  }
}

std::size_t outlier_detector::MaxEjected() const {
  return static_cast<std::size_t>(options_.max_ejected_share * static_cast<double>(known_count_));
}

void outlier_detector::RecordLatency(time_point now,
                                     endpoint_index endpoint,
                                     latency_kind kind,
                                     duration latency) {
  endpoint_state* state = Find(endpoint);
  if (state == nullptr) {
    return;
  }
  smoothed& average = state->latency[static_cast<std::size_t>(kind)];
  const double sample = std::max(seconds(latency).count(), 1e-6);
  if (average.samples == 0 || now - average.updated > kStaleAfter) {
    average = {.seconds = sample, .samples = 1, .updated = now};
    return;
  }
  const double weight =
      std::clamp((now - average.updated) / kSmoothing, kMinSampleWeight, kMaxSampleWeight);
  average.seconds += weight * (sample - average.seconds);
  average.samples += 1;
  average.updated = now;
}

void outlier_detector::RecordFailure(time_point now, endpoint_index endpoint) {
  endpoint_state* state = Find(endpoint);
  if (state == nullptr) {
    return;
  }
  state->failures_in_row += 1;
  if (state->health == endpoint_health::kHalfOpen) {
    ExtendEjection(now, *state);
  } else if (state->health == endpoint_health::kHealthy &&
             state->failures_in_row >= options_.consecutive_failures) {
    state->factor = options_.max_factor;
    Eject(now, *state);
  }
}

void outlier_detector::RecordSuccess(time_point now, endpoint_index endpoint) {
  endpoint_state* state = Find(endpoint);
  if (state == nullptr) {
    return;
  }
  state->failures_in_row = 0;
  if (state->health != endpoint_health::kHalfOpen || !state->probing) {
    return;
  }
  state->probing = false;
  if (FactorOf(now, *state, 1) >= options_.return_factor) {
    ExtendEjection(now, *state);
    return;
  }
  state->good_probes += 1;
  if (state->good_probes >= options_.good_probes_to_return) {
    Return(*state);
  }
}

bool outlier_detector::Eject(time_point now, endpoint_state& state) {
  if (ejected_count_ + 1 > MaxEjected()) {
    return false;
  }
  if (now - state.ejected_until > kForgetEjections) {
    state.ejections = 0;
  }
  ejected_count_ += 1;
  ExtendEjection(now, state);
  return true;
}

void outlier_detector::ExtendEjection(time_point now, endpoint_state& state) {
  duration time = options_.base_ejection;
  for (std::uint32_t i = 0; i < state.ejections && time < options_.max_ejection; ++i) {
    time *= 2;
  }
  state.health = endpoint_health::kEjected;
  state.ejections += 1;
  state.ejected_until = now + std::min(time, options_.max_ejection);
  state.probing = false;
  state.good_probes = 0;
}

void outlier_detector::Return(endpoint_state& state) {
  TARRAGON_INVARIANT(state.health != endpoint_health::kHealthy, "endpoint was not ejected");
  state.health = endpoint_health::kHealthy;
  state.failures_in_row = 0;
  state.probing = false;
  state.factor = 1;
  ejected_count_ -= 1;
}

duration outlier_detector::Median(latency_kind kind) const {
  const std::chrono::duration<double> median(median_seconds_[static_cast<std::size_t>(kind)]);
  return std::chrono::duration_cast<duration>(median);
}

void outlier_detector::UpdateMedians(time_point now) {
  for (std::size_t kind = 0; kind < kKinds; ++kind) {
    scratch_.clear();
    for (const endpoint_state& state : endpoints_) {
      const smoothed& average = state.latency[kind];
      if (state.known && average.samples >= options_.min_samples &&
          now - average.updated <= kStaleAfter) {
        scratch_.push_back(average.seconds);
      }
    }
    median_seconds_[kind] = 0;
    if (scratch_.size() >= kMinPeers) {
      // The lower median, so that half of the endpoints being slow does not raise it.
      const auto middle = scratch_.begin() + static_cast<std::ptrdiff_t>((scratch_.size() - 1) / 2);
      std::ranges::nth_element(scratch_, middle);
      median_seconds_[kind] = *middle;
    }
  }
}

double outlier_detector::FactorOf(time_point now,
                                  const endpoint_state& state,
                                  std::uint32_t min_samples) const {
  double factor = 1;
  for (std::size_t kind = 0; kind < kKinds; ++kind) {
    const smoothed& average = state.latency[kind];
    const bool is_known = average.samples >= min_samples && now - average.updated <= kStaleAfter;
    if (is_known && median_seconds_[kind] > 0) {
      factor = std::max(factor, average.seconds / median_seconds_[kind]);
    }
  }
  return std::min(factor, options_.max_factor);
}

void outlier_detector::Update(time_point now) {
  UpdateMedians(now);
  for (endpoint_state& state : endpoints_) {
    if (!state.known) {
      continue;
    }
    const bool is_failing = state.failures_in_row >= options_.consecutive_failures;
    state.factor = is_failing ? options_.max_factor : FactorOf(now, state, options_.min_samples);
    if (state.health == endpoint_health::kEjected && now >= state.ejected_until) {
      OpenHalf(now, state);
    } else if (state.probing && now - state.probe_since >= options_.probe_timeout) {
      ExtendEjection(now, state);
    }
  }
  EjectSlowest(now);
}

void outlier_detector::OpenHalf(time_point now, endpoint_state& state) {
  // Streams that still run there show its speed without a probe.
  const bool is_observed = std::ranges::any_of(state.latency, [&](const smoothed& average) {
    return average.samples > 0 && now - average.updated < options_.base_ejection / 2;
  });
  if (is_observed && state.factor >= options_.eject_factor) {
    ExtendEjection(now, state);
    return;
  }
  state.health = endpoint_health::kHalfOpen;
  state.failures_in_row = 0;
  // Probes are judged by their own latency only.
  std::ranges::fill(state.latency, smoothed{});
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
  const endpoint_state* state = Find(endpoint);
  return state == nullptr ? endpoint_health::kHealthy : state->health;
}

bool outlier_detector::MaySend(endpoint_index endpoint) const {
  const endpoint_state* state = Find(endpoint);
  return state == nullptr || state->health == endpoint_health::kHealthy ||
         (state->health == endpoint_health::kHalfOpen && !state->probing);
}

void outlier_detector::BeginProbe(time_point now, endpoint_index endpoint) {
  endpoint_state* state = Find(endpoint);
  if (state != nullptr && state->health == endpoint_health::kHalfOpen) {
    TARRAGON_INVARIANT(!state->probing, "second probe of a half-open endpoint");
    state->probing = true;
    state->probe_since = now;
  }
}

double outlier_detector::LatencyFactor(endpoint_index endpoint) const {
  const endpoint_state* state = Find(endpoint);
  return state == nullptr ? 1 : state->factor;
}

void outlier_detector::Validate() const {
  std::size_t known = 0;
  std::size_t ejected = 0;
  for (const endpoint_state& state : endpoints_) {
    known += state.known ? 1 : 0;
    ejected += state.known && state.health != endpoint_health::kHealthy ? 1 : 0;
    TARRAGON_INVARIANT(!state.probing || state.health == endpoint_health::kHalfOpen,
                       "probe of an endpoint that is not half-open");
    TARRAGON_INVARIANT(state.factor >= 1 && state.factor <= options_.max_factor,
                       "latency factor out of range");
  }
  TARRAGON_INVARIANT(known == known_count_, "count of endpoints is wrong");
  TARRAGON_INVARIANT(ejected == ejected_count_, "count of ejected endpoints is wrong");
  TARRAGON_INVARIANT(ejected_count_ <= MaxEjected(), "too many endpoints ejected");
}

}  // namespace tarragon::policy
