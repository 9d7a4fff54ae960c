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
  bool DecisionIs() {
    return std::holds_alternative<Decision>(Decide());
  }

  retry_decider decider_;
  retry_budget budget_;
  retry_facts facts_;
};

// Guards against starting a second generation while the first may still be running.
TEST_F(retry_decider_test, LostConnectionResumesTheSameGeneration) {
  facts_.end = attempt_end::kConnectionLost;
  EXPECT_TRUE(DecisionIs<resume_same>());
  facts_.unreachable_for = 2900ms;
  EXPECT_TRUE(DecisionIs<resume_same>());
  facts_.unreachable_for = 3s;
  EXPECT_TRUE(DecisionIs<send_again>());
}

// Guards against giving up a lost generation under the hold policy, even with an exhausted budget.
TEST_F(retry_decider_test, HeldGenerationIsRetriedWithoutBudget) {
  facts_.end = attempt_end::kGenerationLost;
  facts_.on_loss = document::loss_policy::kHold;
  while (budget_.TryTake()) {
  }
  const auto decision = Decide();
  ASSERT_TRUE(std::holds_alternative<send_again>(decision));
  EXPECT_FALSE(std::get<send_again>(decision).restart_stream);
}

// Guards against a response that mixes tokens of two generations.
TEST_F(retry_decider_test, RestartTellsTheCallerToDiscardTokens) {
  facts_.end = attempt_end::kGenerationLost;
  facts_.tokens_delivered = 5;
  EXPECT_TRUE(std::get<send_again>(Decide()).restart_stream);
}

// Guards against retrying a lost generation whose request class forbids it.
TEST_F(retry_decider_test, EndPolicyFinishesWithMayHaveRun) {
  facts_.end = attempt_end::kGenerationLost;
  facts_.on_loss = document::loss_policy::kEnd;
  EXPECT_EQ(std::get<give_up>(Decide()).verdict, run_verdict::kMayHaveRun);
}

// Guards against one request that crashes one endpoint after another.
TEST_F(retry_decider_test, CrashSuspectsAreIsolatedThenRefused) {
  facts_.end = attempt_end::kGenerationLost;
  facts_.suspect_deaths = 1;
  EXPECT_TRUE(std::get<send_again>(Decide()).isolated);
  facts_.suspect_deaths = 3;
  EXPECT_EQ(std::get<give_up>(Decide()).cause, give_up_cause::kSuspect);
}

// Guards against retrying reads without limit while a service is failing.
TEST_F(retry_decider_test, RetriedReadsTakeFromTheBudget) {
  facts_.generation = false;
  facts_.attempts = 1;
  while (budget_.Balance() >= 1) {
    EXPECT_TRUE(DecisionIs<send_again>());
  }
  EXPECT_EQ(std::get<give_up>(Decide()).cause, give_up_cause::kOverBudget);
}

// Guards against ending a request while its hedge is still in flight.
TEST_F(retry_decider_test, WaitsForTheOtherAttempt) {
  facts_.other_attempt_in_flight = true;
  facts_.end = attempt_end::kConnectFailed;
  facts_.attempt_verdict = run_verdict::kNotRun;
  EXPECT_TRUE(DecisionIs<await_other>());
}

rc::Gen<retry_facts> ArbitraryFacts() {
  return rc::gen::exec([] {
    const auto flag = [] { return *rc::gen::arbitrary<bool>(); };
    retry_facts facts;
    facts.end = static_cast<attempt_end>(*rc::gen::inRange(0, 6));
    facts.attempt_verdict = static_cast<run_verdict>(*rc::gen::inRange(0, 3));
    facts.earlier_verdict = static_cast<run_verdict>(*rc::gen::inRange(0, 3));
    facts.generation = flag();
    facts.repeatable = flag();
    facts.on_loss = static_cast<document::loss_policy>(*rc::gen::inRange(0, 3));
    // A held response is not forwarded before it is complete.
    facts.tokens_delivered =
        facts.on_loss == document::loss_policy::kHold ? 0 : *rc::gen::inRange(0, 3);
    facts.attempts = *rc::gen::inRange(1, 6);
    facts.unreachable_for = std::chrono::seconds(*rc::gen::inRange(0, 6));
    facts.suspect_deaths = *rc::gen::inRange(0, 5);
    facts.deadline = kNow + std::chrono::seconds(*rc::gen::inRange(-2, 3));
    return facts;
  });
}

// Guards against executing a call twice that may run at most once.
RC_GTEST_PROP(RetryDeciderProperty, UnrepeatableRequestIsRetriedOnlyIfNotRun, ()) {
  retry_facts facts = *ArbitraryFacts();
  facts.repeatable = false;
  retry_budget budget;
  const auto decision = retry_decider().Decide(kNow, facts, budget);
  if (std::holds_alternative<send_again>(decision)) {
    RC_ASSERT(Combine(facts.earlier_verdict, facts.attempt_verdict) == run_verdict::kNotRun);
  }
}

// Guards against reporting a request as not run although one of its attempts may have run.
RC_GTEST_PROP(RetryDeciderProperty, VerdictCombinesAllAttempts, ()) {
  const retry_facts facts = *ArbitraryFacts();
  retry_budget budget;
  const auto decision = retry_decider().Decide(kNow, facts, budget);
  if (const auto* end = std::get_if<give_up>(&decision)) {
    RC_ASSERT(end->verdict == Combine(facts.earlier_verdict, facts.attempt_verdict));
  }
}

// Guards against retrying a request that is past its deadline, was refused, or is known to crash
// endpoints.
RC_GTEST_PROP(RetryDeciderProperty, GivesUpPastDeadlineOrAfterRefusalOrCrashes, ()) {
  const retry_facts facts = *ArbitraryFacts();
  retry_budget budget;
  const auto decision = retry_decider().Decide(kNow, facts, budget);
  if (kNow >= facts.deadline || facts.suspect_deaths >= 3 || facts.end == attempt_end::kRefused) {
    RC_ASSERT(std::holds_alternative<give_up>(decision));
  }
}

}  // namespace
}  // namespace tarragon::policy
