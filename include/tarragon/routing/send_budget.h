#ifndef TARRAGON_ROUTING_SEND_BUDGET_H_
#define TARRAGON_ROUTING_SEND_BUDGET_H_

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>

#include "tarragon/base/clock.h"

namespace tarragon::routing {

struct send_budget_options {
  /** Extra sends allowed for each request of the window. */
  double share = 0.2;
  /** Additional extra sends allowed in a window, for all daemons together. */
  double slack = 0;
  duration window = std::chrono::seconds(10);
};

/**
 * Retry budget of one service: bounds the extra sends, which are those beyond the first of each
 * request. The bound holds for all daemons together without messages between them: each daemon may
 * use `share` of its own requests plus `slack` divided by the maximum number of daemons.
 */
class send_budget final {
 public:
  explicit send_budget(send_budget_options options) : options_(options) {}

  /** Takes effect in the current window; earlier requests and sends still count. */
  void SetAllowance(double share, double slack) {
    options_.share = share;
    options_.slack = slack;
  }

  /** Counts a caller's request to the service. */
  void RecordRequest(time_point now);

  /** @return callers' requests to the service, averaged over the window. */
  double RequestsPerSecond(time_point now) const;

  /**
   * Takes one extra send from the budget.
   * @param daemons maximum number of daemons that share the slack.
   * @return false if the budget is exhausted.
   */
  bool TryTake(time_point now, std::size_t daemons);

  /** @return extra sends that remain in the current window; may be negative. */
  double Remaining(time_point now, std::size_t daemons) const;

 private:
  /** The window has 20 slices; one more is kept so that the sum covers a full window. */
  static constexpr std::size_t kSlices = 21;

  struct slice {
    std::int64_t number = -1;
    std::uint32_t requests = 0;
    std::uint32_t extra_sends = 0;
  };

  std::int64_t SliceNumber(time_point now) const;
  slice& CurrentSlice(time_point now);

  send_budget_options options_;
  std::array<slice, kSlices> slices_{};
};

}  // namespace tarragon::routing

#endif  // TARRAGON_ROUTING_SEND_BUDGET_H_
