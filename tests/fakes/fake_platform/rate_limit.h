#ifndef TARRAGON_FAKES_FAKE_PLATFORM_RATE_LIMIT_H_
#define TARRAGON_FAKES_FAKE_PLATFORM_RATE_LIMIT_H_

#include <mutex>

#include "tarragon/base/clock.h"

namespace tarragon::fakes {

/** Token bucket that holds up to one second's worth. Safe from any thread. */
class rate_limit final {
 public:
  /** @param per_second tokens added per second; 0 for no limit. */
  explicit rate_limit(double per_second);

  /** @return whether `tokens` could be taken; more than the bucket holds count as a full one. */
  bool Take(double tokens, time_point now);

 private:
  const double per_second_;
  const double capacity_;
  std::mutex mutex_;
  double available_;
  time_point filled_at_{};
};

}  // namespace tarragon::fakes

#endif  // TARRAGON_FAKES_FAKE_PLATFORM_RATE_LIMIT_H_
