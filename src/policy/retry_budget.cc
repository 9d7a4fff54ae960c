#include "tarragon/policy/retry_budget.h"

#include <algorithm>

#include "tarragon/base/invariant.h"

namespace tarragon::policy {

retry_budget::retry_budget(retry_budget_options options)
    : options_(options), balance_(options.initial_balance) {}

void retry_budget::RecordRequest() {
  requests_ += 1;
  balance_ = std::min(balance_ + options_.extra_attempts_per_request, options_.max_balance);
}

bool retry_budget::TryTake() {
  if (balance_ < 1) {
    return false;
  }
  balance_ -= 1;
  taken_ += 1;
  return true;
}

void retry_budget::TakeUnconditionally() {
  // The debt is bounded so that hedges resume soon after many endpoints crash.
  balance_ = std::max(balance_ - 1, -options_.max_balance);
  taken_unconditionally_ += 1;
}

void retry_budget::Validate() const {
  // Rounding errors of many small additions stay far below one attempt.
  constexpr double kRoundingTolerance = 1e-3;
  const double allowed = options_.initial_balance +
                         options_.extra_attempts_per_request * static_cast<double>(requests_) +
                         kRoundingTolerance;
  TARRAGON_INVARIANT(static_cast<double>(taken_) <= allowed,
                     "more extra attempts taken than the retry budget allows");
  TARRAGON_INVARIANT(balance_ <= std::max(options_.max_balance, options_.initial_balance),
                     "retry budget balance is above its limit");
}

}  // namespace tarragon::policy
