#include "decision/call_handler.h"

namespace tarragon::decision {

void call_handler::OnAccepted(request_record& record, attempt_record& attempt) {
  core_.endpoints.RecordConnected(attempt.endpoint);
  if (attempt.phase == attempt_phase::kSent) {
    attempt.phase = attempt_phase::kAccepted;
  }
  attempt.was_accepted = true;
  record.accepted_once = true;
}

void call_handler::OnResponse(request_record& record,
                              attempt_record& attempt,
                              const response_received& event) {
  OnAccepted(record, attempt);
  RecordClaimResult(attempt, event);
  core_.policies.OnFirstAnswer(core_.now, record, attempt);
  core_.policies.OnCompleted(core_.now, record, attempt);
  PenalizeSlowerEndpoints(record, attempt);
  core_.EndAttempt(record, attempt.id, run_verdict::kRan);
  core_.Emit(
      deliver_response{record.properties.request, event.status, event.content_type, event.body});
  core_.Finish(record, {.status = event.status});
}

// The cancel hides the latency of the slower endpoint. Without a recorded failure, a slow endpoint
// would stay in use for as long as the retry budget allows hedges.
void call_handler::PenalizeSlowerEndpoints(const request_record& record,
                                           const attempt_record& winner) {
  for (const attempt_id id : record.attempts) {
    const attempt_record* other = core_.attempts.Find(id);
    if (other != nullptr && other->sent_at < winner.sent_at) {
      core_.policies.OnFailure(core_.now, record, *other);
    }
  }
}

void call_handler::RecordClaimResult(const attempt_record& attempt,
                                     const response_received& event) {
  if (!attempt.claim_token.empty()) {
    core_.Emit(complete_claim{attempt.claim_account, attempt.claim_key, attempt.claim_token,
                              event.status, event.body});
  }
}

void call_handler::OnFailed(request_record& record,
                            attempt_record& attempt,
                            const attempt_failed& event) {
  if (event.cause == failure_cause::kConnectFailed) {
    core_.endpoints.RecordConnectFailure(core_.now, attempt.endpoint, core_.options.loss_timeout,
                                         core_.options.connect_backoff);
  }
  core_.policies.OnFailure(core_.now, record, attempt);
  const run_verdict verdict = attempt.was_accepted ? run_verdict::kMayHaveRun : event.verdict;
  const bool bad = event.cause == failure_cause::kBadAnswer;
  retries_.OnAttemptEnded(record, attempt,
                          event.cause == failure_cause::kConnectFailed
                              ? policy::attempt_end::kConnectFailed
                          : bad ? policy::attempt_end::kBadAnswer
                                : policy::attempt_end::kConnectionLost,
                          verdict);
}

void call_handler::Tick(request_record& record) {
  if (record.phase != request_phase::kActive) {
    return;
  }
  if (core_.now >= record.deadline) {
    core_.Finish(record, {.reason = finish_reason::kDeadline,
                          .status = 504,
                          .message = "the endpoint did not answer before the deadline",
                          .attempts = record.properties.repeatable ? attempt_disposition::kCancel
                                                                   : attempt_disposition::kOrphan});
  } else if (core_.options.hedge_reads && record.properties.repeatable &&
             record.attempts.size() == 1) {
    queue_.TryHedge(record);
  }
}

}  // namespace tarragon::decision
