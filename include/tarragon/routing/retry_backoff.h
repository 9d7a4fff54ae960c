#ifndef TARRAGON_ROUTING_RETRY_BACKOFF_H_
#define TARRAGON_ROUTING_RETRY_BACKOFF_H_

#include <chrono>
#include <random>

namespace tarragon::routing {

/** Waits between failed calls: they double up to a maximum. */
class retry_backoff final {
 public:
  retry_backoff(std::chrono::milliseconds initial, std::chrono::milliseconds max)
      : initial_(initial), max_(max), next_(initial) {}

  /** Takes effect with the wait after the next one. */
  void SetMax(std::chrono::milliseconds max) { max_ = max; }

  /**
   * @return the wait after a call that has failed. Jitter of up to half of it keeps daemons from
   *     calling a store that recovers at the same moment.
   */
  std::chrono::milliseconds Next(std::mt19937_64& random);

  /** Starts again with the initial wait, after a call that has succeeded. */
  void Reset() { next_ = initial_; }

 private:
  std::chrono::milliseconds initial_;
  std::chrono::milliseconds max_;
  std::chrono::milliseconds next_;
};

}  // namespace tarragon::routing

#endif  // TARRAGON_ROUTING_RETRY_BACKOFF_H_
