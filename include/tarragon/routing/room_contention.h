#ifndef TARRAGON_ROUTING_ROOM_CONTENTION_H_
#define TARRAGON_ROUTING_ROOM_CONTENTION_H_

#include <cstddef>
#include <optional>

#include "tarragon/base/clock.h"

namespace tarragon::routing {

/**
 * @return estimated number of requests that arrive at all daemons before these hear of each other's
 *     sends; at least one.
 * @param requests_per_second requests that arrive at this daemon; callers are spread evenly.
 */
double CountArrivingContenders(std::size_t daemons, double requests_per_second);

/**
 * @return estimated number of times that the requests that wait at all daemons look for room before
 *     the daemons hear of each other's sends, and as many again, since more may win than expected.
 * @param waiting requests that wait at this daemon; about as many wait at each of the others.
 */
double CountWaitingContenders(std::size_t daemons, std::size_t waiting);

/**
 * For how long one request has contended for room at limited endpoints. Its chance to use room
 * grows meanwhile. Time in which the endpoints with room lacked capacity does not count: it says
 * nothing about the number of requests that want the room.
 */
class room_contention final {
 public:
  /** Called when the request was to be sent and has got no room. */
  void OnNoRoom(time_point now) {
    if (!since_) {
      since_ = now;
    }
  }
  /** Called when the request was to be sent and has got room, but no capacity. */
  void OnNoCapacity() { since_.reset(); }
  /** Called when the request has been sent. */
  void OnSent() { since_.reset(); }

  duration Age(time_point now) const { return since_ ? now - *since_ : duration::zero(); }

 private:
  std::optional<time_point> since_;
};

}  // namespace tarragon::routing

#endif  // TARRAGON_ROUTING_ROOM_CONTENTION_H_
