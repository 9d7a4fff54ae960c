#include "tarragon/policy/retry_decider.h"

#include <algorithm>

#include "tarragon/base/invariant.h"
#include "tarragon/policy/retry_budget.h"

namespace tarragon::policy {

retry_decider::retry_decider(retry_options options) : options_(options) {}

retry_decision retry_decider::Decide(time_point now,
                                     const retry_context& context,
                                     retry_budget& budget) const {
  const run_verdict verdict = Combine(context.earlier_verdict, context.attempt_verdict);
  // The other attempt may still deliver the complete response, so the request neither ends nor is
  // sent again.
  if (context.other_attempt_in_flight) {
    return await_other_attempt{};
  }
  if (context.end == attempt_end::kRefused) {
    return give_up{verdict, give_up_cause::kRefused};
  }
  if (now >= context.deadline) {
    return give_up{verdict, give_up_cause::kDeadline};
  }
  if (context.suspect_crashes >= options_.max_suspect_crashes) {
    return give_up{verdict, give_up_cause::kSuspect};
  }
  const bool isolated = context.suspect_crashes > 0;
  if (context.attempt_verdict == run_verdict::kNotRun) {
    // The attempt caused no work at an endpoint, so its retry is not charged to the budget. A call
    // that may run only once is still not sent if an earlier attempt may have run.
    if (!context.repeatable && verdict != run_verdict::kNotRun) {
      return give_up{verdict, give_up_cause::kLost};
    }
    const bool is_declined = context.end == attempt_end::kDeclined;
    return resend_request{.delay = is_declined ? options_.decline_delay : duration::zero(),
                          .restart_stream = context.tokens_delivered > 0,
                          .isolated = isolated};
  }
  if (!context.repeatable) {
    return give_up{verdict, give_up_cause::kLost};
  }
  const bool is_unreachable = context.unreachable_for >= options_.loss_timeout;
  const bool is_lost = context.end == attempt_end::kGenerationLost || is_unreachable;
  if (context.is_generation && !is_lost && context.end != attempt_end::kBadAnswer) {
    // The engine may still be running the generation. Missing data alone must not start a second
    // generation.
    return resume_generation{options_.resume_delay};
  }
  return DecideLost(context, verdict, budget);
}

retry_decision retry_decider::DecideLost(const retry_context& context,
                                         run_verdict verdict,
                                         retry_budget& budget) const {
  if (context.is_generation && context.on_loss == document::loss_policy::kEnd) {
    return give_up{verdict, give_up_cause::kLost};
  }
  const resend_request resend{
      .restart_stream = context.is_generation && context.tokens_delivered > 0,
      .isolated = context.suspect_crashes > 0};
  TARRAGON_INVARIANT(!resend.restart_stream || context.on_loss != document::loss_policy::kHold,
                     "tokens of a buffered response were forwarded to the caller");
  const bool is_bad_answer = context.end == attempt_end::kBadAnswer;
  if (context.is_generation && !is_bad_answer) {
    // A lost generation is always sent again; `max_suspect_crashes` limits how often.
    budget.TakeUnconditionally();
    return resend;
  }
  if (context.attempts >= options_.max_attempts) {
    return give_up{verdict, give_up_cause::kTooManyAttempts};
  }
  if (!budget.TryTake()) {
    return give_up{verdict, give_up_cause::kBudgetExhausted};
  }
  return resend;
}

}  // namespace tarragon::policy
