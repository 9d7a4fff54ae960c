#ifndef TARRAGON_ROUTING_EVENT_INTERVAL_TRACKER_H_
#define TARRAGON_ROUTING_EVENT_INTERVAL_TRACKER_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>

#include "tarragon/base/clock.h"

namespace tarragon::routing {

/**
 * Estimates an engine's base interval: the time between two events of a stream that runs alone,
 * without a concurrent prefill or a temporary slowdown of the machine.
 */
class event_interval_tracker final {
 public:
  /**
   * Records one interval between two events of the same stream.
   * @param running generations in flight at the engine, this one included.
   */
  void Record(time_point now, duration interval, std::uint32_t running);

  /** Sets the estimate of other daemons; empty if they have none. */
  void SetPeerEstimate(std::optional<duration> estimate) { peer_estimate_ = estimate; }

  /** @return the estimate from intervals of this daemon; empty if there are too few. */
  std::optional<duration> OwnEstimate() const { return own_estimate_; }

  /** @return the daemon's own estimate, or else that of other daemons; empty if none exists. */
  std::optional<duration> Estimate() const;

  /** @return whether the samples span more time than a temporary slowdown of the machine lasts. */
  bool IsSettled() const { return count_ >= kSettledSamples; }

 private:
  duration ComputeBaseInterval() const;

  static constexpr std::size_t kSamples = 32;
  static constexpr std::size_t kMinSamples = 3;
  static constexpr std::size_t kSettledSamples = 24;
  /** Minimum time between samples, so that 24 of them outlast a slowdown of 600 ms. */
  static constexpr duration kMinSampleSpacing = std::chrono::milliseconds(40);
  /**
   * Quantile that is taken as the base interval. Events that are delayed on the way arrive
   * together, which makes a few intervals too short.
   */
  static constexpr double kBaseQuantile = 0.15;
  /** Growth of an interval per generation in the batch: 0.12 ms of 7 ms (users' site files). */
  static constexpr double kGrowthPerGeneration = 0.017;

  std::array<duration, kSamples> samples_{};
  std::size_t count_ = 0;
  time_point last_at_;
  std::optional<duration> own_estimate_;
  std::optional<duration> peer_estimate_;
};

}  // namespace tarragon::routing

#endif  // TARRAGON_ROUTING_EVENT_INTERVAL_TRACKER_H_
