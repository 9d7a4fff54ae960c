#ifndef TARRAGON_ROUTING_RATE_LIMIT_H_
#define TARRAGON_ROUTING_RATE_LIMIT_H_

#include <cstdint>
#include <deque>
#include <optional>

#include "tarragon/base/clock.h"

namespace tarragon::routing {

/** How an answer has changed what is known about an endpoint's limit. */
enum class limit_change : std::uint8_t { kNone, kBegun, kEnded };

/** The rate at which an endpoint takes requests from all daemons, as it names it in its answers. */
class rate_limit final {
 public:
  /** @param per_second requests per second that the answer named; empty if it named none. */
  limit_change RecordAnswer(time_point now, std::optional<double> per_second);

  void RecordSend(time_point now);

  /** @return requests per second that the endpoint has named to this daemon; empty if none. */
  std::optional<double> Named() const { return named_; }

  /** @return requests that this daemon has sent within the window. */
  std::uint32_t OwnSends(time_point now) const;

 private:
  static constexpr duration kWindow = std::chrono::seconds(4);

  std::optional<double> named_;
  /** Times of the sends within the window, the oldest first. */
  std::deque<time_point> sends_;
};

}  // namespace tarragon::routing

#endif  // TARRAGON_ROUTING_RATE_LIMIT_H_
