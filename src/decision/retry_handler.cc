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

/** The rule in force: a loss that the caller cannot see is repeated in every class. */
document::loss_policy EffectiveRule(const request_record& record) {
  if (!record.cursor.visible()) {
    return document::loss_policy::kHold;
  }
  return record.rule.on_loss == document::loss_policy::kEnd && !record.facts.whole_answer
             ? document::loss_policy::kEnd
             : document::loss_policy::kRestart;
}

}  // namespace

retry_handler::retry_handler(engine_core& core, dispatcher& queue)
    : core_(core), queue_(queue), decider_(DeciderOptions(core.options)) {}

policy::retry_context retry_handler::FactsOf(const request_record& record,
                                             const attempt_record& attempt,
                                             policy::attempt_end end,
                                             run_verdict verdict) const {
  policy::retry_context facts;
  facts.end = end;
  facts.attempt_verdict = verdict;
  facts.earlier_verdict = record.past_verdict;
  facts.generation = record.is_generation();
  facts.repeatable = record.facts.repeatable;
  facts.on_loss = EffectiveRule(record);
  facts.tokens_delivered = record.cursor.first_held();
  facts.attempts = record.sends;
  if (end == policy::attempt_end::kConnectFailed) {
    facts.unreachable_for = core_.endpoints.UnreachableFor(core_.now, attempt.endpoint);
  }
  facts.suspect_deaths = core_.policies.suspects.Deaths(record.facts.content);
  facts.other_attempt_in_flight = record.attempts.size() > 1;
  facts.deadline = record.deadline;
  if (record.is_generation() && record.accepted_once) {
    // A generation that makes progress is not given up at the deadline for starting it.
    facts.deadline =
        std::max(facts.deadline, record.last_progress + core_.options.recovery_timeout);
  }
  return facts;
}

void retry_handler::OnEnded(request_record& record,
                            attempt_record& attempt,
                            policy::attempt_end end,
                            run_verdict verdict,
                            std::string message) {
  if (attempt.is_recheck && end != policy::attempt_end::kConnectionLost) {
    OnRechecked(record, attempt, end);
    return;
  }
  // Only a failed connect proves that the endpoint is still out of reach; after silence the
  // earlier failures say nothing of now.
  const bool unreachable =
      end == policy::attempt_end::kConnectFailed &&
      core_.endpoints.UnreachableFor(core_.now, attempt.endpoint) >= core_.options.loss_timeout;
  if (verdict != run_verdict::kNotRun && unreachable) {
    end = policy::attempt_end::kGenerationLost;
    if (record.is_generation()) {
      NoteUnreachable(record, attempt);
    }
  }
  // The endpoint took it and does not know it now, or is gone: it died with the request in flight.
  if (verdict != run_verdict::kNotRun && end == policy::attempt_end::kGenerationLost &&
      (attempt.taken || unreachable)) {
    core_.policies.suspects.RecordDeath(core_.now, record.facts.content);
    core_.Count("tarragon_suspect_deaths_total");
  }
  const auto facts = FactsOf(record, attempt, end, verdict);
  auto& budget = core_.policies.Of(record.facts.service).budget;
  const policy::retry_decision decision = decider_.Decide(core_.now, facts, budget);
  if (const auto* resume = std::get_if<policy::resume_generation>(&decision)) {
    const bool failing = end == policy::attempt_end::kConnectFailed;
    Reconnect(record, attempt.id, failing ? core_.options.reconnect_interval : resume->delay);
    return;
  }
  if (std::holds_alternative<policy::give_up>(decision) && record.is_generation() &&
      end == policy::attempt_end::kConnectionLost) {
    // The engine may still be running it; the open attempt is cancelled with the request.
    GiveUp(record, std::get<policy::give_up>(decision).cause, std::move(message));
    return;
  }
  record.avoid.push_back(attempt.endpoint);
  core_.EndAttempt(record, attempt.id, verdict);
  if (std::holds_alternative<policy::await_other_attempt>(decision)) {
    return;
  }
  if (record.phase == request_phase::kDetached) {
    core_.Finish(
        record,
        {.reason = finish_reason::kCancelled, .status = 499, .message = "the caller is gone"});
  } else if (const auto* again = std::get_if<policy::resend_request>(&decision)) {
    SendAgain(record, *again);
  } else {
    GiveUp(record, std::get<policy::give_up>(decision).cause, std::move(message));
  }
}

void retry_handler::NoteUnreachable(request_record& record, const attempt_record& attempt) const {
  record.unreachable.push_back({.endpoint = attempt.endpoint,
                                .generation = attempt.generation,
                                .delivered = record.cursor.first_held(),
                                .failed_at = core_.now});
}

void retry_handler::OnRechecked(request_record& record,
                                attempt_record& attempt,
                                policy::attempt_end end) {
  // The loss and its death were counted when the endpoint was found to be away.
  if (end == policy::attempt_end::kConnectFailed) {
    NoteUnreachable(record, attempt);
  }
  core_.EndAttempt(record, attempt.id, run_verdict::kMayHaveRun);
  if (record.phase == request_phase::kDetached) {
    core_.Finish(
        record,
        {.reason = finish_reason::kCancelled, .status = 499, .message = "the caller is gone"});
    return;
  }
  record.restart_pending = record.restart_pending || record.cursor.visible();
  core_.Follow(record, {}, 0);
  queue_.EnqueueAgain(record);
}

void retry_handler::OnUnreachableGeneration(request_record& record) {
  record.past_verdict = Combine(record.past_verdict, run_verdict::kMayHaveRun);
  if (EffectiveRule(record) == document::loss_policy::kEnd) {
    GiveUp(record, policy::give_up_cause::kLost, {});
  } else {
    SendAgain(record, {});
  }
}

void retry_handler::SendAgain(request_record& record, const policy::resend_request& how) {
  if (record.is_generation()) {
    record.restart_pending = record.restart_pending || record.cursor.visible();
    core_.Follow(record, {}, 0);
  }
  if (record.accepted_once) {
    core_.Count("tarragon_generations_repeated_total");
    record.deadline =
        std::max(record.deadline, record.last_progress + core_.options.recovery_timeout);
  }
  record.not_before = core_.now + how.delay;
  queue_.EnqueueAgain(record);
}

void retry_handler::GiveUp(request_record& record,
                           policy::give_up_cause cause,
                           std::string message) {
  const bool not_run = core_.VerdictOf(record) == run_verdict::kNotRun;
  ending how{.reason = finish_reason::kLost,
             .status = not_run ? 503 : 502,
             .message = "the endpoint did not give the whole answer"};
  switch (cause) {
    case policy::give_up_cause::kRefused:
      how = {.reason = finish_reason::kRefusedByEndpoint,
             .status = 422,
             .message = std::move(message)};
      break;
    case policy::give_up_cause::kDeadline:
      how = {.reason = finish_reason::kDeadline,
             .status = not_run ? 503 : 504,
             .message = "no answer before the deadline"};
      break;
    case policy::give_up_cause::kSuspect:
      how = core_.SuspectEnding(record);
      break;
    case policy::give_up_cause::kLost:
    case policy::give_up_cause::kTooManyAttempts:
    case policy::give_up_cause::kBudgetExhausted:
      break;
  }
  if (not_run && how.status == 503) {
    how.retry_after = core_.options.min_retry_after;
  }
  core_.Finish(record, std::move(how));
}

void retry_handler::Reconnect(request_record& record, attempt_id id, duration delay) {
  const attempt_record old = *core_.attempts.Find(id);
  core_.Emit(close_attempt{id});
  core_.EndAttempt(record, id, run_verdict::kMayHaveRun);
  attempt_record next;
  next.endpoint = old.endpoint;
  next.generation = old.generation;
  next.is_resume = true;
  next.taken = old.taken;
  next.has_tokens = old.has_tokens;
  next.unknown_since = old.unknown_since;
  next.phase = attempt_phase::kBackoff;
  next.next_step = core_.now + delay;
  attempt_record& added = core_.AddAttempt(record, std::move(next));
  if (delay <= duration::zero() && record.phase == request_phase::kActive) {
    Resume(record, added);
  }
}

void retry_handler::Resume(request_record& record, attempt_record& attempt) {
  attempt.phase = attempt_phase::kSent;
  attempt.sent_at = core_.now;
  attempt.last_token = core_.now;
  attempt.window_start = core_.now;
  core_.Emit(resume_attempt{record.facts.request, attempt.id, attempt.endpoint, attempt.generation,
                            record.cursor.next_index()});
}

}  // namespace tarragon::decision
