#ifndef TARRAGON_ROUTING_SLOWNESS_TRACKER_H_
#define TARRAGON_ROUTING_SLOWNESS_TRACKER_H_

#include <optional>

#include "tarragon/base/clock.h"

namespace tarragon::routing {

/**
 * Tracks an endpoint's slowness: the duration of its work relative to the usual duration in the
 * service, as the endpoint reports it in its answers. Other workloads on its machine slow it down
 * for some hundred milliseconds; the minimum of the last seconds shows the machine's own speed.
 */
class slowness_tracker final {
 public:
  /** @param slowness 1 is usual; values that are not above 0 are ignored. */
  void Record(time_point now, double slowness);

  /** Sets the minimum that other daemons have seen; empty if they have seen none. */
  void SetPeerMinimum(std::optional<double> minimum) { peer_minimum_ = minimum; }

  /** @return the last reported value, or 1 if it is older than `kReportLifetime`. */
  double Current(time_point now) const;

  /** @return the recent minimum that this daemon has seen; empty if none. */
  std::optional<double> OwnMinimum() const;

  /** @return the recent minimum that any daemon has seen; empty if none. */
  std::optional<double> Minimum() const;

 private:
  /** Other workloads on the machine start and stop every 600 ms (users' site files). */
  static constexpr duration kReportLifetime = std::chrono::milliseconds(600);
  /** The minimum covers one to two windows; a busy endpoint answers dozens of requests in one. */
  static constexpr duration kWindow = std::chrono::seconds(5);

  double last_slowness_ = 1;
  std::optional<time_point> last_report_at_;
  time_point window_start_;
  std::optional<double> window_minimum_;
  std::optional<double> previous_minimum_;
  std::optional<double> peer_minimum_;
};

}  // namespace tarragon::routing

#endif  // TARRAGON_ROUTING_SLOWNESS_TRACKER_H_
