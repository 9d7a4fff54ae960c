#include "decision/retry_handler.h"

#include <algorithm>
#include <utility>
#include <variant>

#include "tarragon/base/invariant.h"

namespace tarragon::decision {

namespace {

policy::retry_options DeciderOptions(const engine_options& options) {
  policy::retry_options decider;
  decider.loss_timeout = options.loss_timeout;
  return decider;
}

/** @return the loss policy in force. A loss invisible to the caller is retried in every class. */
document::loss_policy EffectiveLossPolicy(const request_record& record) {
  if (!record.cursor.caller_has_tokens()) {
    return document::loss_policy::kHold;
  }
  return record.class_settings.on_loss == document::loss_policy::kEnd &&
                 !record.properties.buffered_response
             ? document::loss_policy::kEnd
             : document::loss_policy::kRestart;
}

}  // namespace

retry_handler::retry_handler(engine_core& core, dispatcher& queue)
    : core_(core), queue_(queue), decider_(DeciderOptions(core.options)) {}

policy::retry_context retry_handler::MakeRetryContext(const request_record& record,
                                                      const attempt_record& attempt,
                                                      policy::attempt_end end,
                                                      run_verdict verdict) const {
  policy::retry_context context;
  context.end = end;
  context.attempt_verdict = verdict;
  context.earlier_verdict = record.past_verdict;
  context.is_generation = record.is_generation();
  context.repeatable = record.properties.repeatable;
  context.on_loss = EffectiveLossPolicy(record);
  context.tokens_delivered = record.cursor.first_buffered();
  context.attempts = record.send_count;
  if (end == policy::attempt_end::kConnectFailed) {
    context.unreachable_for = core_.endpoints.UnreachableFor(core_.now, attempt.endpoint);
  }
  context.suspect_crashes =
      core_.policies.suspects.ActiveCrashes(record.properties.request_fingerprint);
  context.other_attempt_in_flight = record.attempts.size() > 1;
  context.deadline = record.deadline;
  if (record.is_generation() && record.accepted_once) {
    // The deadline is for the start; a generation that makes progress may continue after it.
    context.deadline =
        std::max(context.deadline, record.last_progress + core_.options.recovery_timeout);
  }
  return context;
}

void retry_handler::OnAttemptEnded(request_record& record,
                                   attempt_record& attempt,
                                   policy::attempt_end end,
                                   run_verdict verdict,
                                   std::string message) {
  if (attempt.is_recheck && end != policy::attempt_end::kConnectionLost) {
    OnRecheckFailed(record, attempt, end);
    return;
  }
  // Only a failed connect shows that the endpoint is unreachable now. Earlier failed connects do
  // not show that for an attempt that ended by silence.
  const bool unreachable =
      end == policy::attempt_end::kConnectFailed &&
      core_.endpoints.UnreachableFor(core_.now, attempt.endpoint) >= core_.options.loss_timeout;
  if (verdict != run_verdict::kNotRun && unreachable) {
    end = policy::attempt_end::kGenerationLost;
    if (record.is_generation()) {
      RecordUnreachable(record, attempt);
    }
  }
  // The endpoint accepted the request and no longer knows it, or is unreachable. Both count as a
  // crash with the request in flight.
  if (verdict != run_verdict::kNotRun && end == policy::attempt_end::kGenerationLost &&
      (attempt.was_accepted || unreachable)) {
    core_.policies.suspects.RecordCrash(core_.now, record.properties.request_fingerprint);
    core_.IncrementCounter("tarragon_suspect_deaths_total");
  }
  const auto context = MakeRetryContext(record, attempt, end, verdict);
  auto& budget = core_.policies.ForService(record.properties.service).budget;
  const policy::retry_decision decision = decider_.Decide(core_.now, context, budget);
  if (const auto* resume = std::get_if<policy::resume_generation>(&decision)) {
    const bool failing = end == policy::attempt_end::kConnectFailed;
    Reconnect(record, attempt.id, failing ? core_.options.reconnect_interval : resume->delay);
    return;
  }
  if (std::holds_alternative<policy::give_up>(decision) && record.is_generation() &&
      end == policy::attempt_end::kConnectionLost) {
    // The model engine may still run the generation, so the open attempt is cancelled with the
    // request.
    GiveUp(record, std::get<policy::give_up>(decision).cause, std::move(message));
    return;
  }
  record.avoided_endpoints.push_back(attempt.endpoint);
  core_.EndAttempt(record, attempt.id, verdict);
  if (std::holds_alternative<policy::await_other_attempt>(decision)) {
    return;
  }
  if (record.phase == request_phase::kDetached) {
    core_.Finish(
        record,
        {.reason = finish_reason::kCancelled, .status = 499, .message = "the caller disconnected"});
  } else if (const auto* again = std::get_if<policy::resend_request>(&decision)) {
    ScheduleRetry(record, *again);
  } else {
    GiveUp(record, std::get<policy::give_up>(decision).cause, std::move(message));
  }
}

void retry_handler::RecordUnreachable(request_record& record, const attempt_record& attempt) const {
  record.unreachable_generations.push_back({.endpoint = attempt.endpoint,
                                            .generation = attempt.generation,
                                            .delivered_tokens = record.cursor.first_buffered(),
                                            .last_connect_failure = core_.now});
}

void retry_handler::OnRecheckFailed(request_record& record,
                                    attempt_record& attempt,
                                    policy::attempt_end end) {
  // The loss and the endpoint's crash were counted when the endpoint was found unreachable.
  if (end == policy::attempt_end::kConnectFailed) {
    RecordUnreachable(record, attempt);
  }
  core_.EndAttempt(record, attempt.id, run_verdict::kMayHaveRun);
  if (record.phase == request_phase::kDetached) {
    core_.Finish(
        record,
        {.reason = finish_reason::kCancelled, .status = 499, .message = "the caller disconnected"});
    return;
  }
  record.restart_pending = record.restart_pending || record.cursor.caller_has_tokens();
  core_.FollowGeneration(record, {}, 0);
  queue_.Requeue(record);
}

void retry_handler::OnUnreachableGeneration(request_record& record) {
  record.past_verdict = Combine(record.past_verdict, run_verdict::kMayHaveRun);
  if (EffectiveLossPolicy(record) == document::loss_policy::kEnd) {
    GiveUp(record, policy::give_up_cause::kLost, {});
  } else {
    ScheduleRetry(record, {});
  }
}

void retry_handler::ScheduleRetry(request_record& record, const policy::resend_request& retry) {
  if (record.is_generation()) {
    record.restart_pending = record.restart_pending || record.cursor.caller_has_tokens();
    core_.FollowGeneration(record, {}, 0);
  }
  if (record.accepted_once) {
    core_.IncrementCounter("tarragon_generations_repeated_total");
    record.deadline =
        std::max(record.deadline, record.last_progress + core_.options.recovery_timeout);
  }
  record.not_before = core_.now + retry.delay;
  queue_.Requeue(record);
}

void retry_handler::GiveUp(request_record& record,
                           policy::give_up_cause cause,
                           std::string message) {
  const bool not_run = core_.CombinedVerdict(record) == run_verdict::kNotRun;
  finish_details details{.reason = finish_reason::kLost,
                         .status = not_run ? 503 : 502,
                         .message = "the endpoint did not return a complete answer"};
  switch (cause) {
    case policy::give_up_cause::kRefused:
      details = {.reason = finish_reason::kRefusedByEndpoint,
                 .status = 422,
                 .message = std::move(message)};
      break;
    case policy::give_up_cause::kDeadline:
      details = {.reason = finish_reason::kDeadline,
                 .status = not_run ? 503 : 504,
                 .message = "no answer before the deadline"};
      break;
    case policy::give_up_cause::kSuspect:
      details = core_.SuspectRefusal(record);
      break;
    case policy::give_up_cause::kLost:
    case policy::give_up_cause::kTooManyAttempts:
    case policy::give_up_cause::kBudgetExhausted:
      break;
  }
  if (not_run && details.status == 503) {
    details.retry_after = core_.options.min_retry_after;
  }
  core_.Finish(record, std::move(details));
}

void retry_handler::Reconnect(request_record& record, attempt_id id, duration delay) {
  const attempt_record old = *core_.attempts.Find(id);
  core_.Emit(close_attempt{id});
  core_.EndAttempt(record, id, run_verdict::kMayHaveRun);
  attempt_record next;
  next.endpoint = old.endpoint;
  next.generation = old.generation;
  next.is_resume = true;
  next.was_accepted = old.was_accepted;
  next.has_tokens = old.has_tokens;
  next.unknown_since = old.unknown_since;
  next.phase = attempt_phase::kBackoff;
  next.timer_due = core_.now + delay;
  attempt_record& added = core_.AddAttempt(record, std::move(next));
  if (delay <= duration::zero() && record.phase == request_phase::kActive) {
    Resume(record, added);
  }
}

void retry_handler::Resume(request_record& record, attempt_record& attempt) {
  attempt.phase = attempt_phase::kSent;
  attempt.sent_at = core_.now;
  attempt.last_activity = core_.now;
  attempt.window_start = core_.now;
  core_.Emit(resume_attempt{record.properties.request, attempt.id, attempt.endpoint,
                            attempt.generation, record.cursor.next_index()});
}

}  // namespace tarragon::decision
