#include "tarragon/routing/endpoint_pause.h"

#include <algorithm>

namespace tarragon::routing {

bool endpoint_pause::Record(time_point now, duration stated) {
  const time_point end = now + std::clamp(stated, duration::zero(), kMaxPause);
  if (end <= now || end <= until_) {
    return false;
  }
  until_ = end;
  return true;
}

duration endpoint_pause::Remaining(time_point now) const {
  return IsPaused(now) ? until_ - now : duration::zero();
}

}  // namespace tarragon::routing
