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
  retry_decision Decide() { return decider_.Decide(kNow, context_, budget_); }

  template <typename Decision>
  bool DecisionIs() {
    return std::holds_alternative<Decision>(Decide());
  }

  retry_decider decider_;
  retry_budget budget_;
  retry_context context_;
};

// Guards against starting a second generation while the first may still be running.
TEST_F(retry_decider_test, LostConnectionResumesTheSameGeneration) {
  context_.end = attempt_end::kConnectionLost;
  EXPECT_TRUE(DecisionIs<resume_generation>());
  context_.unreachable_for = 2900ms;
  EXPECT_TRUE(DecisionIs<resume_generation>());
  context_.unreachable_for = 3s;
  EXPECT_TRUE(DecisionIs<resend_request>());
}

// Guards against giving up a lost generation under the hold policy, even with an exhausted budget.
TEST_F(retry_decider_test, HeldGenerationIsRetriedWithoutBudget) {
  context_.end = attempt_end::kGenerationLost;
  context_.on_loss = document::loss_policy::kHold;
  while (budget_.TryTake()) {
  }
  const auto decision = Decide();
  ASSERT_TRUE(std::holds_alternative<resend_request>(decision));
  EXPECT_FALSE(std::get<resend_request>(decision).restart_stream);
}

// Guards against a response that mixes tokens of two generations.
TEST_F(retry_decider_test, RestartTellsTheCallerToDiscardTokens) {
  context_.end = attempt_end::kGenerationLost;
  context_.tokens_delivered = 5;
  EXPECT_TRUE(std::get<resend_request>(Decide()).restart_stream);
}

// Guards against retrying a lost generation whose request class forbids it.
TEST_F(retry_decider_test, EndPolicyFinishesWithMayHaveRun) {
  context_.end = attempt_end::kGenerationLost;
  context_.on_loss = document::loss_policy::kEnd;
  EXPECT_EQ(std::get<give_up>(Decide()).verdict, run_verdict::kMayHaveRun);
}

// Guards against one request that crashes one endpoint after another.
TEST_F(retry_decider_test, CrashSuspectsAreIsolatedThenRefused) {
  context_.end = attempt_end::kGenerationLost;
  context_.suspect_crashes = 1;
  EXPECT_TRUE(std::get<resend_request>(Decide()).isolated);
  context_.suspect_crashes = 3;
  EXPECT_EQ(std::get<give_up>(Decide()).cause, give_up_cause::kSuspect);
}

// Guards against retrying reads without limit while a service is failing.
TEST_F(retry_decider_test, RetriedReadsTakeFromTheBudget) {
  context_.is_generation = false;
  context_.attempts = 1;
  while (budget_.Balance() >= 1) {
    EXPECT_TRUE(DecisionIs<resend_request>());
  }
  EXPECT_EQ(std::get<give_up>(Decide()).cause, give_up_cause::kBudgetExhausted);
}

// Guards against ending a request while its hedge is still in flight.
TEST_F(retry_decider_test, WaitsForTheOtherAttempt) {
  context_.other_attempt_in_flight = true;
  context_.end = attempt_end::kConnectFailed;
  context_.attempt_verdict = run_verdict::kNotRun;
  EXPECT_TRUE(DecisionIs<await_other_attempt>());
}

rc::Gen<retry_context> ArbitraryContext() {
  return rc::gen::exec([] {
    const auto flag = [] { return *rc::gen::arbitrary<bool>(); };
    retry_context context;
    context.end = static_cast<attempt_end>(*rc::gen::inRange(0, 6));
    context.attempt_verdict = static_cast<run_verdict>(*rc::gen::inRange(0, 3));
    context.earlier_verdict = static_cast<run_verdict>(*rc::gen::inRange(0, 3));
    context.is_generation = flag();
    context.repeatable = flag();
    context.on_loss = static_cast<document::loss_policy>(*rc::gen::inRange(0, 3));
    // A buffered response is not forwarded before it is complete.
    context.tokens_delivered =
        context.on_loss == document::loss_policy::kHold ? 0 : *rc::gen::inRange(0, 3);
    context.attempts = *rc::gen::inRange(1, 6);
    context.unreachable_for = std::chrono::seconds(*rc::gen::inRange(0, 6));
    context.suspect_crashes = *rc::gen::inRange(0, 5);
    context.deadline = kNow + std::chrono::seconds(*rc::gen::inRange(-2, 3));
    return context;
  });
}

// Guards against executing a call twice that may run at most once.
RC_GTEST_PROP(RetryDeciderProperty, UnrepeatableRequestIsRetriedOnlyIfNotRun, ()) {
  retry_context context = *ArbitraryContext();
  context.repeatable = false;
  retry_budget budget;
  const auto decision = retry_decider().Decide(kNow, context, budget);
  if (std::holds_alternative<resend_request>(decision)) {
    RC_ASSERT(Combine(context.earlier_verdict, context.attempt_verdict) == run_verdict::kNotRun);
  }
}

// Guards against reporting a request as not run although one of its attempts may have run.
RC_GTEST_PROP(RetryDeciderProperty, VerdictCombinesAllAttempts, ()) {
  const retry_context context = *ArbitraryContext();
  retry_budget budget;
  const auto decision = retry_decider().Decide(kNow, context, budget);
  if (const auto* end = std::get_if<give_up>(&decision)) {
    RC_ASSERT(end->verdict == Combine(context.earlier_verdict, context.attempt_verdict));
  }
}

// Guards against retrying a request that is past its deadline, was refused, or is known to crash
// endpoints.
RC_GTEST_PROP(RetryDeciderProperty, GivesUpPastDeadlineOrAfterRefusalOrCrashes, ()) {
  const retry_context context = *ArbitraryContext();
  retry_budget budget;
  const auto decision = retry_decider().Decide(kNow, context, budget);
  if (kNow >= context.deadline || context.suspect_crashes >= 3 ||
      context.end == attempt_end::kRefused) {
    RC_ASSERT(std::holds_alternative<give_up>(decision));
  }
}

}  // namespace
}  // namespace tarragon::policy
