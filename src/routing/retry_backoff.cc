#include "tarragon/routing/retry_backoff.h"

#include <algorithm>
#include <cstdint>

namespace tarragon::routing {

std::chrono::milliseconds retry_backoff::Next(std::mt19937_64& random) {
  std::uniform_int_distribution<std::int64_t> jitter(next_.count() / 2, next_.count());
  const std::chrono::milliseconds wait(jitter(random));
  next_ = std::min(next_ * 2, max_);
  return wait;
}

}  // namespace tarragon::routing
