#include "fakes/fake_endpoint/desired_state.h"

#include <algorithm>
#include <utility>

namespace tarragon::fakes {

desired_state::desired_state(served_state initial, bool checks_fencing)
    : checks_fencing_(checks_fencing), serving_(std::move(initial)) {
  last_.wanted = serving_;
}

order_outcome desired_state::Apply(const order& received) {
  std::lock_guard lock(mutex_);
  const bool stale = received.fencing < highest_fencing_;
  if (stale && checks_fencing_) {
    ++counts_.stale_refused;
    return order_outcome::kStaleRefused;
  }
  highest_fencing_ = std::max(highest_fencing_, received.fencing);
  last_ = received;
  // A change of role requires no model load.
  serving_.role = received.wanted.role;
  ++(stale ? counts_.stale_applied : counts_.applied);
  return stale ? order_outcome::kStaleApplied : order_outcome::kApplied;
}

served_state desired_state::Serving() const {
  std::lock_guard lock(mutex_);
  return serving_;
}

order desired_state::LastOrder() const {
  std::lock_guard lock(mutex_);
  return last_;
}

order_counts desired_state::Counts() const {
  std::lock_guard lock(mutex_);
  return counts_;
}

std::optional<served_state> desired_state::Pending() const {
  std::lock_guard lock(mutex_);
  if (last_.wanted == serving_) {
    return std::nullopt;
  }
  return last_.wanted;
}

void desired_state::FinishLoad(const served_state& loaded) {
  std::lock_guard lock(mutex_);
  if (loaded == last_.wanted) {
    serving_ = loaded;
    ++counts_.loads;
  }
}

}  // namespace tarragon::fakes
