#include "tarragon/routing/recovery_planner.h"

#include "tarragon/base/invariant.h"

namespace tarragon::routing {

namespace {

/** Also bounds sends that no endpoint ran, to try only a few endpoints of a broken service. */
constexpr int kMaxSends = 4;

/**
 * Failed connects put no load on an endpoint, so more of them are allowed. During an outage of the
 * store, engines that have ended stay in the list; in the users' runs, up to a third of it.
 */
constexpr int kMaxFailedConnects = 16;

/** Minimum time for another send to be answered: two round trips and a short call. */
constexpr std::chrono::milliseconds kMinRemainingTime{40};

bool CanSendAgain(const request_progress& progress) {
  // The budget does not count the first send of a request that reaches an endpoint.
  const bool within_budget = progress.budget_left || progress.sends == 0;
  return progress.sends < kMaxSends && progress.failed_connects < kMaxFailedConnects &&
         progress.remaining_time >= kMinRemainingTime && within_budget && !progress.is_suspect;
}

bool CanRunAgain(const request_progress& progress) {
  return CanSendAgain(progress) && progress.possible_runs < progress.max_attempts;
}

/** @return how to answer a request that is not sent again. */
next_step PlanFinalStep(const request_progress& progress,
                        send_failure failure,
                        run_verdict verdict) {
  if (progress.answer_started) {
    return break_off{};
  }
  if (failure == send_failure::kFailureStatus) {
    return relay_failure{};
  }
  if (verdict == run_verdict::kNotRun) {
    return refuse{};
  }
  return answer_unknown{};
}

}  // namespace

next_step PlanRecovery(const request_progress& progress,
                       send_failure failure,
                       run_verdict verdict) {
  TARRAGON_INVARIANT(!progress.answer_started || verdict != run_verdict::kNotRun,
                     "the answer has begun, but the verdict is that no endpoint ran the request");
  if (verdict == run_verdict::kNotRun) {
    return CanSendAgain(progress) ? next_step{send_elsewhere{}}
                                  : PlanFinalStep(progress, failure, verdict);
  }
  const bool is_stream = progress.kind == repeat_kind::kStream;
  // The copy continues the same run, so it does not count against `max_attempts`.
  if (is_stream && progress.has_copy && CanSendAgain(progress)) {
    return resume_from_copy{};
  }
  if (is_stream && progress.resumable && CanRunAgain(progress)) {
    return progress.answer_started ? next_step{resume_elsewhere{}} : next_step{send_elsewhere{}};
  }
  if (progress.kind == repeat_kind::kSafe && !progress.answer_started && CanRunAgain(progress)) {
    return send_elsewhere{};
  }
  return PlanFinalStep(progress, failure, verdict);
}

}  // namespace tarragon::routing
