#include "tarragon/base/manual_clock.h"

#include "tarragon/base/invariant.h"

namespace tarragon {

time_point manual_clock::Now() const {
  return time_point(duration(elapsed_.load()));
}

wall_time_point manual_clock::WallNow() const {
  return wall_time_point(
      std::chrono::duration_cast<std::chrono::milliseconds>(duration(elapsed_.load())));
}

void manual_clock::Advance(duration step) {
  TARRAGON_INVARIANT(step >= duration::zero(), "step must not be negative");
  elapsed_.fetch_add(step.count());
}

}  // namespace tarragon
