#ifndef TARRAGON_ROUTING_SLOWNESS_TRACKER_H_
#define TARRAGON_ROUTING_SLOWNESS_TRACKER_H_

#include <optional>

#include "tarragon/base/clock.h"

namespace tarragon::routing {

/**
 * How long work takes at an endpoint relative to the usual of the service, as the endpoint reports
 * it in its answers. Neighbours on its machine slow it for some hundred milliseconds; the least
 * value of the last seconds is the speed of the machine itself.
 */
class slowness_tracker final {
 public:
  /** @param slowness 1 is the usual; values that are not above 0 are ignored. */
  void Record(time_point now, double slowness);

  /** Takes the least value that other daemons have seen; empty if they have seen none. */
  void LearnLeast(std::optional<double> least) { told_least_ = least; }

  /** @return the last reported value, or 1 if it is older than `kMemory`. */
  double Current(time_point now) const;

  /** @return the least value that this daemon has seen of late; empty if none. */
  std::optional<double> OwnLeast() const;

  /** @return the least value that any daemon has seen of late; empty if none. */
  std::optional<double> Least() const;

 private:
  /** Neighbours come and go every 600 ms (users' site files). */
  static constexpr duration kMemory = std::chrono::milliseconds(600);
  /** `Least` covers one to two of these, in which a busy endpoint answers dozens of requests. */
  static constexpr duration kWindow = std::chrono::seconds(5);

  double last_ = 1;
  std::optional<time_point> last_at_;
  time_point window_start_;
  std::optional<double> window_least_;
  std::optional<double> previous_least_;
  std::optional<double> told_least_;
};

}  // namespace tarragon::routing

#endif  // TARRAGON_ROUTING_SLOWNESS_TRACKER_H_
