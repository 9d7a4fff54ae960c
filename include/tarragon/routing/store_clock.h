#ifndef TARRAGON_ROUTING_STORE_CLOCK_H_
#define TARRAGON_ROUTING_STORE_CLOCK_H_

#include <chrono>
#include <cstdint>
#include <optional>

#include "tarragon/base/clock.h"

namespace tarragon::routing {

/**
 * Estimates the current time of the store's steady clock from the times in its responses. A
 * response that was processed late, such as one that waited in a socket while the process was
 * paused, does not set the estimate back, so that its age shows.
 */
class store_clock final {
 public:
  /**
   * Records the store's time in a message that is processed at `now`.
   * @param era in which the store sent it; times of different eras are not comparable.
   */
  void Record(time_point now, std::uint64_t era, std::chrono::milliseconds store_time);

  /**
   * @return age of a message with this store time; zero before the first `Record`. A message of an
   *     earlier era is at least as old as the daemon's knowledge of the present one.
   */
  duration Age(time_point now, std::uint64_t era, std::chrono::milliseconds store_time) const;

 private:
  /** Clocks drift apart by far less than a millisecond within this time. */
  static constexpr duration kWindow = std::chrono::seconds(20);

  /** Largest offset between the clocks in a window: that of the least delayed message. */
  struct window {
    std::int64_t number = 0;
    duration offset{0};
  };

  std::uint64_t era_ = 0;
  time_point era_known_since_;
  std::optional<window> current_;
  std::optional<window> previous_;
};

}  // namespace tarragon::routing

#endif  // TARRAGON_ROUTING_STORE_CLOCK_H_
