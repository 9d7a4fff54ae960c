#include "tarragon/policy/retry_budget.h"

#include <algorithm>

#include "tarragon/base/invariant.h"

namespace tarragon::policy {

retry_budget::retry_budget(retry_budget_options options)
    : options_(options), balance_(options.initial) {}

void retry_budget::RecordRequest() {
  requests_ += 1;
  balance_ = std::min(balance_ + options_.extra_share, options_.max_saved);
}

bool retry_budget::TryTake() {
  if (balance_ < 1) {
    return false;
  }
  balance_ -= 1;
  taken_ += 1;
  return true;
}

void retry_budget::TakeForced() {
  // The debt is bounded, so that hedges come back soon after a wave of endpoint deaths.
  balance_ = std::max(balance_ - 1, -options_.max_saved);
  forced_ += 1;
}

void retry_budget::Validate() const {
  // Rounding of many small additions may lift the sum by far less than one attempt.
  constexpr double kRounding = 1e-3;
  const double allowed =
      options_.initial + options_.extra_share * static_cast<double>(requests_) + kRounding;
  TARRAGON_INVARIANT(static_cast<double>(taken_) <= allowed, "more extra attempts than budgeted");
  TARRAGON_INVARIANT(balance_ <= std::max(options_.max_saved, options_.initial),
                     "saved more than allowed");
}

}  // namespace tarragon::policy
