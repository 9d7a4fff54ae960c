#ifndef TARRAGON_BASE_MANUAL_CLOCK_H_
#define TARRAGON_BASE_MANUAL_CLOCK_H_

#include <atomic>

#include "tarragon/base/clock.h"

namespace tarragon {

/** Clock that only `Advance` moves, for tests and replays. Starts one hour after the epoch. */
class manual_clock final : public clock {
 public:
  time_point Now() const override;
  wall_time_point WallNow() const override;

  /** @param step time to advance by; must not be negative. */
  void Advance(duration step);

 private:
  std::atomic<duration::rep> elapsed_{std::chrono::nanoseconds(std::chrono::hours(1)).count()};
};

}  // namespace tarragon

#endif  // TARRAGON_BASE_MANUAL_CLOCK_H_
