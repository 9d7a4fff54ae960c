#include "tarragon/routing/room_contention.h"

#include <algorithm>
#include <chrono>

namespace tarragon::routing {

namespace {

/** Time until the daemons of a large fleet have heard of a send. */
constexpr std::chrono::milliseconds kReportDelay{60};
/** Looks for room within `kReportDelay`, see `DecideWithoutRoom`, times two. */
constexpr double kLooksOfWaitingRequest = 4;

}  // namespace

double CountArrivingContenders(std::size_t daemons, double requests_per_second) {
  const double seconds = std::chrono::duration<double>(kReportDelay).count();
  return std::max(1.0, static_cast<double>(daemons) * requests_per_second * seconds);
}

double CountWaitingContenders(std::size_t daemons, std::size_t waiting) {
  return kLooksOfWaitingRequest * static_cast<double>(daemons * std::max<std::size_t>(1, waiting));
}

}  // namespace tarragon::routing
