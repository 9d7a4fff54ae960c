#include "tarragon/routing/generation_pace.h"

#include <algorithm>

namespace tarragon::routing {

void recent_maximum::Record(time_point now, duration value) {
  if (!current_ || now - window_start_ >= kWindow) {
    previous_ = current_ && now - window_start_ < 2 * kWindow ? current_ : std::nullopt;
    current_ = value;
    window_start_ = now;
    return;
  }
  current_ = std::max(*current_, value);
}

std::optional<duration> recent_maximum::Get(time_point now) const {
  if (!current_ || now - window_start_ >= 2 * kWindow) {
    return std::nullopt;
  }
  return std::max(*current_, previous_.value_or(*current_));
}

}  // namespace tarragon::routing
