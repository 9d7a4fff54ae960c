#include "tarragon/policy/retry_decider.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "tarragon/policy/retry_budget.h"

namespace tarragon::policy {
namespace {

using namespace std::chrono_literals;

constexpr time_point kNow{1h};

class retry_decider_test : public testing::Test {
 protected:
  retry_decision Decide() { return decider_.Decide(kNow, facts_, budget_); }

  template <typename Decision>
  bool Gives() {
    return std::holds_alternative<Decision>(Decide());
  }

  retry_decider decider_;
  retry_budget budget_;
  retry_facts facts_;
};

// Guards against a second generation while the first may still be running.
TEST_F(retry_decider_test, SilenceResumesTheSameGeneration) {
  facts_.end = attempt_end::kConnectionLost;
  EXPECT_TRUE(Gives<resume_same>());
  facts_.unreachable_for = 2900ms;
  EXPECT_TRUE(Gives<resume_same>());
  facts_.unreachable_for = 3s;
  EXPECT_TRUE(Gives<send_again>());
}

// Guards against a held quote that is lost, or whose repeat is refused for the budget.
TEST_F(retry_decider_test, HeldGenerationIsRepeatedWithoutBudget) {
  facts_.end = attempt_end::kGenerationLost;
  facts_.on_loss = document::loss_policy::kHold;
  while (budget_.TryTake()) {
  }
  const auto decision = Decide();
  ASSERT_TRUE(std::holds_alternative<send_again>(decision));
  EXPECT_FALSE(std::get<send_again>(decision).restart_stream);
}

// Guards against joining tokens of two generations.
TEST_F(retry_decider_test, RestartTellsTheCallerToDiscardTokens) {
  facts_.end = attempt_end::kGenerationLost;
  facts_.tokens_delivered = 5;
  EXPECT_TRUE(std::get<send_again>(Decide()).restart_stream);
}

// Guards against a repeat that the class rules out.
TEST_F(retry_decider_test, EndPolicyFinishesWithMayHaveRun) {
  facts_.end = attempt_end::kGenerationLost;
  facts_.on_loss = document::loss_policy::kEnd;
  EXPECT_EQ(std::get<give_up>(Decide()).verdict, run_verdict::kMayHaveRun);
}

// Guards against one request that kills endpoint after endpoint.
TEST_F(retry_decider_test, SuspectsAreIsolatedThenRefused) {
  facts_.end = attempt_end::kGenerationLost;
  facts_.suspect_deaths = 1;
  EXPECT_TRUE(std::get<send_again>(Decide()).isolated);
  facts_.suspect_deaths = 3;
  EXPECT_EQ(std::get<give_up>(Decide()).cause, give_up_cause::kSuspect);
}

// Guards against repeating reads without limit when a service is failing.
TEST_F(retry_decider_test, RepeatedReadsTakeFromTheBudget) {
  facts_.generation = false;
  facts_.attempts = 1;
  while (budget_.Balance() >= 1) {
    EXPECT_TRUE(Gives<send_again>());
  }
  EXPECT_EQ(std::get<give_up>(Decide()).cause, give_up_cause::kOverBudget);
}

// Guards against ending a request while its hedge still runs.
TEST_F(retry_decider_test, OtherAttemptIsAwaited) {
  facts_.other_attempt_in_flight = true;
  facts_.end = attempt_end::kConnectFailed;
  facts_.attempt_verdict = run_verdict::kNotRun;
  EXPECT_TRUE(Gives<await_other>());
}

rc::Gen<retry_facts> AnyFacts() {
  return rc::gen::exec([] {
    const auto flag = [] { return *rc::gen::arbitrary<bool>(); };
    retry_facts facts;
    facts.end = static_cast<attempt_end>(*rc::gen::inRange(0, 6));
    facts.attempt_verdict = static_cast<run_verdict>(*rc::gen::inRange(0, 3));
    facts.earlier_verdict = static_cast<run_verdict>(*rc::gen::inRange(0, 3));
    facts.generation = flag();
    facts.repeatable = flag();
    facts.on_loss = static_cast<document::loss_policy>(*rc::gen::inRange(0, 3));
    // A held answer is not passed on before it is whole.
    facts.tokens_delivered =
        facts.on_loss == document::loss_policy::kHold ? 0 : *rc::gen::inRange(0, 3);
    facts.attempts = *rc::gen::inRange(1, 6);
    facts.unreachable_for = std::chrono::seconds(*rc::gen::inRange(0, 6));
    facts.suspect_deaths = *rc::gen::inRange(0, 5);
    facts.deadline = kNow + std::chrono::seconds(*rc::gen::inRange(-2, 3));
    return facts;
  });
}

// Guards against a second run of a call that may run at most once.
RC_GTEST_PROP(RetryDeciderProperty, UnrepeatableIsSentAgainOnlyIfNothingRan, ()) {
  retry_facts facts = *AnyFacts();
  facts.repeatable = false;
  retry_budget budget;
  const auto decision = retry_decider().Decide(kNow, facts, budget);
  if (std::holds_alternative<send_again>(decision)) {
    RC_ASSERT(Combine(facts.earlier_verdict, facts.attempt_verdict) == run_verdict::kNotRun);
  }
}

// Guards against reporting a request as not run although an attempt may have run.
RC_GTEST_PROP(RetryDeciderProperty, VerdictNeverUnderstates, ()) {
  const retry_facts facts = *AnyFacts();
  retry_budget budget;
  const auto decision = retry_decider().Decide(kNow, facts, budget);
  if (const auto* end = std::get_if<give_up>(&decision)) {
    RC_ASSERT(end->verdict == Combine(facts.earlier_verdict, facts.attempt_verdict));
  }
}

// Guards against work for a caller that no longer waits, or that is known to crash endpoints.
RC_GTEST_PROP(RetryDeciderProperty, NothingIsSentPastDeadlineOrForRefusedSuspects, ()) {
  const retry_facts facts = *AnyFacts();
  retry_budget budget;
  const auto decision = retry_decider().Decide(kNow, facts, budget);
  if (kNow >= facts.deadline || facts.suspect_deaths >= 3 || facts.end == attempt_end::kRefused) {
    RC_ASSERT(std::holds_alternative<give_up>(decision));
  }
}

}  // namespace
}  // namespace tarragon::policy
