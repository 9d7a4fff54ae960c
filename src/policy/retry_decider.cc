#include "tarragon/policy/retry_decider.h"

#include <algorithm>

#include "tarragon/base/invariant.h"
#include "tarragon/policy/retry_budget.h"

namespace tarragon::policy {

retry_decider::retry_decider(retry_options options) : options_(options) {}

retry_decision retry_decider::Decide(time_point now,
                                     const retry_facts& facts,
                                     retry_budget& budget) const {
  const run_verdict verdict = Combine(facts.earlier_verdict, facts.attempt_verdict);
  // The other attempt may still deliver the complete response, so the request neither ends nor is
  // sent again.
  if (facts.other_attempt_in_flight) {
    return await_other{};
  }
  if (facts.end == attempt_end::kRefused) {
    return give_up{verdict, give_up_cause::kRefused};
  }
  if (now >= facts.deadline) {
    return give_up{verdict, give_up_cause::kDeadline};
  }
  if (facts.suspect_deaths >= options_.max_suspect_deaths) {
    return give_up{verdict, give_up_cause::kSuspect};
  }
  const bool isolated = facts.suspect_deaths > 0;
  if (facts.attempt_verdict == run_verdict::kNotRun) {
    // The attempt caused no work at an endpoint, so its retry is not charged to the budget. A call
    // that may run only once is still not sent if an earlier attempt may have run.
    if (!facts.repeatable && verdict != run_verdict::kNotRun) {
      return give_up{verdict, give_up_cause::kLost};
    }
    const bool is_declined = facts.end == attempt_end::kDeclined;
    return send_again{.delay = is_declined ? options_.decline_delay : duration::zero(),
                      .restart_stream = facts.tokens_delivered > 0,
                      .isolated = isolated};
  }
  if (!facts.repeatable) {
    return give_up{verdict, give_up_cause::kLost};
  }
  const bool is_unreachable = facts.unreachable_for >= options_.loss_timeout;
  const bool is_lost = facts.end == attempt_end::kGenerationLost || is_unreachable;
  if (facts.generation && !is_lost && facts.end != attempt_end::kBadAnswer) {
    // The engine may still be running the generation. Missing data alone must not start a second
    // generation.
    return resume_same{options_.resume_delay};
  }
  return DecideLost(facts, verdict, budget);
}

retry_decision retry_decider::DecideLost(const retry_facts& facts,
                                         run_verdict verdict,
                                         retry_budget& budget) const {
  if (facts.generation && facts.on_loss == document::loss_policy::kEnd) {
    return give_up{verdict, give_up_cause::kLost};
  }
  const send_again resend{.restart_stream = facts.generation && facts.tokens_delivered > 0,
                          .isolated = facts.suspect_deaths > 0};
  TARRAGON_INVARIANT(!resend.restart_stream || facts.on_loss != document::loss_policy::kHold,
                     "tokens of a held response were forwarded to the caller");
  const bool is_bad_answer = facts.end == attempt_end::kBadAnswer;
  if (facts.generation && !is_bad_answer) {
    // A lost generation is always sent again; `max_suspect_deaths` limits how often.
    budget.TakeUnconditionally();
    return resend;
  }
  if (facts.attempts >= options_.max_attempts) {
    return give_up{verdict, give_up_cause::kTooManyAttempts};
  }
  if (!budget.TryTake()) {
    return give_up{verdict, give_up_cause::kOverBudget};
  }
  return resend;
}

}  // namespace tarragon::policy
