#include "tarragon/routing/copy_planner.h"

#include <algorithm>

namespace tarragon::routing {

void copy_planner::OnCompleted() {
  lost_responses_ = 0;
  failed_targets_ = 0;
  delay_factor_ = 0;
  is_waiting_ = false;
}

void copy_planner::OnFailure(copy_failure failure) {
  if (failure == copy_failure::kSourceRefused || failure == copy_failure::kNoSuchRun) {
    is_source_lost_ = true;
    return;
  }
  lost_responses_ = failure == copy_failure::kNoResponse ? lost_responses_ + 1 : 0;
  is_source_lost_ = is_source_lost_ || lost_responses_ >= kMaxLostResponses;
  ++failed_targets_;
  // A busy source refuses copies to any target.
  if (failed_targets_ == kAttemptsPerRound || failure == copy_failure::kBusy) {
    failed_targets_ = 0;
    is_waiting_ = true;
    delay_factor_ = std::clamp(2 * delay_factor_, 1, kMaxDelayFactor);
  }
}

copy_step copy_planner::Plan(const copy_situation& situation) const {
  const bool is_protected = situation.has_backup && !situation.backup_misses_objective;
  if (is_source_lost_ || is_protected) {
    // A copy besides an adequate backup would use KV cache that running generations need.
    return no_copy{};
  }
  if (is_waiting_) {
    return copy_after{kRoundDelay * delay_factor_};
  }
  if (situation.has_backup && situation.leaving_for < kUnprotectedPriorityPeriod) {
    return copy_after{kUnprotectedPriorityPeriod - situation.leaving_for};
  }
  return copy_now{};
}

}  // namespace tarragon::routing
