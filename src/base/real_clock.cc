#include "tarragon/base/real_clock.h"

namespace tarragon {

time_point real_clock::Now() const {
  return std::chrono::time_point_cast<duration>(std::chrono::steady_clock::now());
}

wall_time_point real_clock::WallNow() const {
  return std::chrono::time_point_cast<std::chrono::milliseconds>(std::chrono::system_clock::now());
}

}  // namespace tarragon
