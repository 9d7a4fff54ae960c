#include "tarragon/routing/recovery_planner.h"

#include "tarragon/base/invariant.h"

namespace tarragon::routing {

namespace {

/** Sends that no endpoint ran are bounded too, so that a broken service is not searched through. */
constexpr int kMaxSends = 4;

/**
 * Failed connects put no load on an endpoint. While the store is silent engines that have ended
 * stay in the list, up to a third of it on the users' days.
 */
constexpr int kMaxFailedConnects = 16;

/** Below this a further send cannot be answered in time: two round trips and a short call. */
constexpr std::chrono::milliseconds kMinTimeLeft{40};

bool MaySendAgain(const request_progress& progress) {
  // The budget counts arrivals behind the first one of each request.
  const bool within_budget = progress.budget_left || progress.sends == 0;
  return progress.sends < kMaxSends && progress.failed_connects < kMaxFailedConnects &&
         progress.left >= kMinTimeLeft && within_budget && !progress.suspect;
}

bool MayRunAgain(const request_progress& progress) {
  return MaySendAgain(progress) && progress.runs < progress.max_attempts;
}

/** @return the end of a request that is not sent again. */
next_step End(const request_progress& progress, send_failure failure, run_verdict verdict) {
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
                     "an answer has begun, so an endpoint has run the request");
  if (verdict == run_verdict::kNotRun) {
    return MaySendAgain(progress) ? next_step{send_elsewhere{}} : End(progress, failure, verdict);
  }
  const bool stream = progress.kind == repeat_kind::kStream;
  // The copy continues the same run, so that the bound on attempts does not count it.
  if (stream && progress.has_copy && MaySendAgain(progress)) {
    return resume_from_copy{};
  }
  if (stream && progress.resumable && MayRunAgain(progress)) {
    return progress.answer_started ? next_step{resume_elsewhere{}} : next_step{send_elsewhere{}};
  }
  if (progress.kind == repeat_kind::kSafe && !progress.answer_started && MayRunAgain(progress)) {
    return send_elsewhere{};
  }
  return End(progress, failure, verdict);
}

}  // namespace tarragon::routing
