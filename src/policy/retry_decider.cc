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
  // The other attempt may still give the whole answer, so nothing is sent and nothing ends.
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
    // The attempt put no work on an endpoint, so it is free. Earlier attempts that may have run
    // still bar a call that may run only once.
    if (!facts.repeatable && verdict != run_verdict::kNotRun) {
      return give_up{verdict, give_up_cause::kLost};
    }
    const bool declined = facts.end == attempt_end::kDeclined;
    return send_again{.delay = declined ? options_.decline_delay : duration::zero(),
                      .restart_stream = facts.tokens_delivered > 0,
                      .isolated = isolated};
  }
  if (!facts.repeatable) {
    return give_up{verdict, give_up_cause::kLost};
  }
  const bool unreachable = facts.unreachable_for >= options_.loss_timeout;
  const bool lost = facts.end == attempt_end::kGenerationLost || unreachable;
  if (facts.generation && !lost && facts.end != attempt_end::kBadAnswer) {
    // The engine may still be running it. Silence never leads to a second generation.
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
  const send_again again{.restart_stream = facts.generation && facts.tokens_delivered > 0,
                         .isolated = facts.suspect_deaths > 0};
  TARRAGON_INVARIANT(!again.restart_stream || facts.on_loss != document::loss_policy::kHold,
                     "tokens of a held answer were passed on");
  const bool engine_fault = facts.end == attempt_end::kBadAnswer;
  if (facts.generation && !engine_fault) {
    // A lost generation is always repeated; crash suspects bound how often.
    budget.TakeForced();
    return again;
  }
  if (facts.attempts >= options_.max_attempts) {
    return give_up{verdict, give_up_cause::kTooManyAttempts};
  }
  if (!budget.TryTake()) {
    return give_up{verdict, give_up_cause::kOverBudget};
  }
  return again;
}

}  // namespace tarragon::policy
