#include "tarragon/routing/send_budget.h"

#include <algorithm>

namespace tarragon::routing {

std::int64_t send_budget::SliceNumber(time_point now) const {
  const duration width = options_.window / static_cast<std::int64_t>(kSlices - 1);
  return now.time_since_epoch() / std::max(width, duration(1));
}

send_budget::slice& send_budget::CurrentSlice(time_point now) {
  const std::int64_t number = SliceNumber(now);
  slice& current = slices_[static_cast<std::size_t>(number) % kSlices];
  if (current.number != number) {
    current = {};
    current.number = number;
  }
  return current;
}

void send_budget::RecordRequest(time_point now) {
  ++CurrentSlice(now).requests;
}

double send_budget::RequestsPerSecond(time_point now) const {
  const std::int64_t newest = SliceNumber(now);
  double requests = 0;
  for (const slice& part : slices_) {
    const bool is_recent =
        part.number >= 0 && part.number + static_cast<std::int64_t>(kSlices) > newest;
    requests += is_recent ? part.requests : 0;
  }
  return requests / std::chrono::duration<double>(options_.window).count();
}

double send_budget::Remaining(time_point now, std::size_t daemons) const {
  const std::int64_t newest = SliceNumber(now);
  double requests = 0;
  double sends = 0;
  for (const slice& part : slices_) {
    if (part.number < 0 || part.number + static_cast<std::int64_t>(kSlices) <= newest) {
      continue;
    }
    sends += part.extra_sends;
    // The oldest slice lies partly outside the window: its sends count, its requests do not.
    if (part.number + static_cast<std::int64_t>(kSlices) > newest + 1) {
      requests += part.requests;
    }
  }
  const double slack = options_.slack / static_cast<double>(std::max<std::size_t>(1, daemons));
  return options_.share * requests + slack - sends;
}

bool send_budget::TryTake(time_point now, std::size_t daemons) {
  if (Remaining(now, daemons) < 1) {
    return false;
  }
  ++CurrentSlice(now).extra_sends;
  return true;
}

}  // namespace tarragon::routing
