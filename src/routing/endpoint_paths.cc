#include "tarragon/routing/endpoint_paths.h"

#include <algorithm>

#include "tarragon/base/invariant.h"

namespace tarragon::routing {

bool endpoint_paths::OnConnectFailed(time_point now,
                                     const std::string& address,
                                     std::size_t known_endpoints) {
  if (!is_cut_ && now > last_failure_at_ + kMaxGap) {
    failed_.clear();
  }
  if (failed_.empty()) {
    first_failure_at_ = now;
  }
  failed_.insert(address);
  last_failure_at_ = now;
  const bool was_cut = is_cut_;
  is_cut_ = is_cut_ || failed_.size() >= std::clamp<std::size_t>(known_endpoints, 1, kMinFailed);
  return is_cut_ && !was_cut;
}

bool endpoint_paths::OnConnected(time_point started_at) {
  if (failed_.empty() || started_at < first_failure_at_) {
    return false;
  }
  const bool was_cut = is_cut_;
  failed_.clear();
  is_cut_ = false;
  return was_cut;
}

void endpoint_paths::Validate() const {
  TARRAGON_INVARIANT(!is_cut_ || !failed_.empty(), "a daemon is cut off without a failed attempt");
}

}  // namespace tarragon::routing
