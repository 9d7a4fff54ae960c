#ifndef TARRAGON_ROUTING_ENDPOINT_PAUSE_H_
#define TARRAGON_ROUTING_ENDPOINT_PAUSE_H_

#include <chrono>

#include "tarragon/base/clock.h"

namespace tarragon::routing {

/**
 * Time for which an endpoint wants no requests from this daemon, as stated when it turned one away.
 * Other daemons are not told: the endpoint decides for each of them how much it takes.
 */
class endpoint_pause final {
 public:
  /** Longest pause that is kept; an endpoint that states more is asked again after it. */
  static constexpr duration kMaxPause = std::chrono::minutes(10);

  /**
   * Records a statement. A shorter pause or a response without one does not end an earlier pause.
   * @return whether the pause lasts longer than before.
   */
  bool Record(time_point now, duration stated);

  bool IsPaused(time_point now) const { return now < until_; }
  /** @return time until the end of the pause; zero if there is none. */
  duration Remaining(time_point now) const;

 private:
  time_point until_{};
};

}  // namespace tarragon::routing

#endif  // TARRAGON_ROUTING_ENDPOINT_PAUSE_H_
