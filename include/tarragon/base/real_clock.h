#ifndef TARRAGON_BASE_REAL_CLOCK_H_
#define TARRAGON_BASE_REAL_CLOCK_H_

#include "tarragon/base/clock.h"

namespace tarragon {

/** Clock backed by the operating system. */
class real_clock final : public clock {
 public:
  time_point Now() const override;
  wall_time_point WallNow() const override;
};

}  // namespace tarragon

#endif  // TARRAGON_BASE_REAL_CLOCK_H_
