#ifndef TARRAGON_ROUTING_COLD_START_H_
#define TARRAGON_ROUTING_COLD_START_H_

#include <chrono>

namespace tarragon::routing {

/** What a cold endpoint of a service bears: beyond this rate it may crash. */
struct cold_start {
  /** Requests per second that a cold endpoint takes from all daemons. */
  double per_second = 0;
  /** Time for which an endpoint is cold after a start. */
  std::chrono::milliseconds time{0};

  bool operator==(const cold_start&) const = default;
};

}  // namespace tarragon::routing

#endif  // TARRAGON_ROUTING_COLD_START_H_
