#include "tarragon/routing/rate_limit.h"

#include <algorithm>
#include <utility>

namespace tarragon::routing {

limit_change rate_limit::RecordAnswer(time_point /*now*/, std::optional<double> per_second) {
  const bool was_limited = std::exchange(named_, per_second).has_value();
  if (was_limited == per_second.has_value()) {
    return limit_change::kNone;
  }
  return was_limited ? limit_change::kEnded : limit_change::kBegun;
}

void rate_limit::RecordSend(time_point now) {
  while (!sends_.empty() && sends_.front() + kWindow <= now) {
    sends_.pop_front();
  }
  sends_.push_back(now);
}

std::uint32_t rate_limit::OwnSends(time_point now) const {
  return static_cast<std::uint32_t>(
      std::ranges::count_if(sends_, [&](time_point sent) { return sent + kWindow > now; }));
}

}  // namespace tarragon::routing
