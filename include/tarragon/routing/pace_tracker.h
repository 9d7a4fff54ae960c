#ifndef TARRAGON_ROUTING_PACE_TRACKER_H_
#define TARRAGON_ROUTING_PACE_TRACKER_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>

#include "tarragon/base/clock.h"

namespace tarragon::routing {

/**
 * Learns the time between two events of a stream that runs alone at an engine, with no prompt read
 * beside it and no slow moment of the machine.
 */
class pace_tracker final {
 public:
  /**
   * Counts one interval between two events of the same stream.
   * @param running generations at the engine meanwhile, this one included.
   */
  void Record(time_point now, duration interval, std::uint32_t running);

  /** Takes what other daemons have learned; empty if they know nothing. */
  void Learn(std::optional<duration> pace) { told_ = pace; }

  /** @return the pace by own intervals; empty if there are too few. */
  std::optional<duration> Own() const { return own_; }

  /** @return the own pace, or what other daemons have learned. */
  std::optional<duration> Get() const;

  /** @return whether the intervals cover so much time that a slow moment does not hide the pace. */
  bool IsSettled() const { return count_ >= kSettledSamples; }

 private:
  duration LowQuantile() const;

  static constexpr std::size_t kSamples = 32;
  static constexpr std::size_t kMinSamples = 3;
  static constexpr std::size_t kSettledSamples = 24;
  /** Least time between samples: 24 of them outlast a slow moment of 600 ms. */
  static constexpr duration kSpacing = std::chrono::milliseconds(40);
  /**
   * Share of the intervals taken to be shorter than the pace: events that were held up and arrive
   * together make a few intervals too short.
   */
  static constexpr double kShortShare = 0.15;
  /** Growth of an interval by each generation of a batch: 0.12 ms of 7 ms (users' site files). */
  static constexpr double kGrowthPerGeneration = 0.017;

  std::array<duration, kSamples> samples_{};
  std::size_t count_ = 0;
  time_point last_at_;
  std::optional<duration> own_;
  std::optional<duration> told_;
};

}  // namespace tarragon::routing

#endif  // TARRAGON_ROUTING_PACE_TRACKER_H_
