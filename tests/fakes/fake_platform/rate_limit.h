#ifndef TARRAGON_FAKES_FAKE_PLATFORM_RATE_LIMIT_H_
#define TARRAGON_FAKES_FAKE_PLATFORM_RATE_LIMIT_H_

#include <mutex>

#include "tarragon/base/clock.h"

namespace tarragon::fakes {

/** Token bucket that holds the tokens of one second. Thread-safe. */
class rate_limit final {
 public:
  /** @param per_second tokens added per second; 0 for no limit. */
  explicit rate_limit(double per_second);

  /** @return whether `tokens`, or a full bucket if they exceed its capacity, were taken. */
  bool Take(double tokens, time_point now);

 private:
  const double per_second_;
  const double capacity_;
  std::mutex mutex_;
  double available_;
  time_point refilled_at_{};
};

}  // namespace tarragon::fakes

#endif  // TARRAGON_FAKES_FAKE_PLATFORM_RATE_LIMIT_H_
