#include "decision/call_handler.h"

namespace tarragon::decision {

void call_handler::OnAccepted(request_record& record, attempt_record& attempt) {
  core_.endpoints.Reached(attempt.endpoint);
  if (attempt.phase == attempt_phase::kSent) {
    attempt.phase = attempt_phase::kAccepted;
  }
  attempt.taken = true;
  record.accepted_once = true;
}

void call_handler::OnResponse(request_record& record,
                              attempt_record& attempt,
                              const response_received& event) {
  OnAccepted(record, attempt);
  OnLateResponse(attempt, event);
  core_.EndAttempt(record, attempt.id, run_verdict::kRan);
  core_.Emit(deliver_response{record.facts.request, event.status, event.content_type, event.body});
  core_.Finish(record, {.status = event.status});
}

void call_handler::OnLateResponse(const attempt_record& attempt, const response_received& event) {
  if (!attempt.claim_token.empty()) {
    core_.Emit(complete_claim{attempt.claim_account, attempt.claim_key, attempt.claim_token,
                              event.status, event.body});
  }
}

void call_handler::OnFailed(request_record& record,
                            attempt_record& attempt,
                            const attempt_failed& event) {
  if (event.cause == failure_cause::kConnectFailed) {
    core_.endpoints.ConnectFailed(core_.now, attempt.endpoint, core_.options.loss_timeout,
                                  core_.options.connect_backoff);
  }
  const run_verdict verdict = attempt.taken ? run_verdict::kMayHaveRun : event.verdict;
  record.avoid.push_back(attempt.endpoint);
  core_.EndAttempt(record, attempt.id, verdict);
  if (!record.attempts.empty()) {
    return;
  }
  if (record.facts.repeatable || core_.VerdictOf(record) == run_verdict::kNotRun) {
    queue_.Enqueue(record);
    return;
  }
  core_.Finish(record, {.reason = finish_reason::kLost,
                        .status = 502,
                        .message = "the endpoint did not answer the call"});
}

void call_handler::Tick(request_record& record) {
  if (record.phase == request_phase::kActive && core_.now >= record.deadline) {
    core_.Finish(record,
                 {.reason = finish_reason::kDeadline,
                  .status = 504,
                  .message = "the endpoint did not answer before the deadline",
                  .attempts = record.facts.repeatable ? leftover::kCancel : leftover::kOrphan});
  }
}

}  // namespace tarragon::decision
