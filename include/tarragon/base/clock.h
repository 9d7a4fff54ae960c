#ifndef TARRAGON_BASE_CLOCK_H_
#define TARRAGON_BASE_CLOCK_H_

#include <chrono>

namespace tarragon {

using duration = std::chrono::nanoseconds;
using time_point = std::chrono::time_point<std::chrono::steady_clock, duration>;
using wall_time_point =
    std::chrono::time_point<std::chrono::system_clock, std::chrono::milliseconds>;

/** Source of time. Implementations are safe to call from any thread. */
class clock {
 public:
  virtual ~clock() = default;

  /** @return monotonic time of this process; not comparable between processes. */
  virtual time_point Now() const = 0;

  /** @return wall-clock time, for records read by people and for incarnation numbers. */
  virtual wall_time_point WallNow() const = 0;
};

}  // namespace tarragon

#endif  // TARRAGON_BASE_CLOCK_H_
