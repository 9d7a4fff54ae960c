#include "tarragon/policy/hedge_policy.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "tarragon/policy/retry_budget.h"

namespace tarragon::policy {
namespace {

using namespace std::chrono_literals;

hedge_policy MakeLearned() {
  hedge_policy policy;
  for (int i = 0; i < 100; ++i) {
    policy.Record("lookup", std::chrono::milliseconds(i < 90 ? 20 : 60));
  }
  return policy;
}

hedge_facts MakeFacts() {
  return {.request_class = "lookup", .repeatable = true, .waited = 200ms, .left = 1s};
}

// Guards against hedging most requests, or before anything is known of the class.
TEST(HedgePolicy, WaitsForTheClassQuantile) {
  const hedge_policy policy = MakeLearned();
  EXPECT_NEAR(std::chrono::duration<double>(*policy.Delay("lookup")).count(), 0.060, 0.010);
  EXPECT_FALSE(policy.Delay("report"));
  retry_budget budget;
  hedge_facts facts = MakeFacts();
  EXPECT_TRUE(policy.ShouldHedge(facts, budget));
  facts.waited = 30ms;
  EXPECT_FALSE(policy.ShouldHedge(facts, budget));
}

// Guards against a second run of a call that may run once, against joining two answers and against
// hedging a hedge.
RC_GTEST_PROP(HedgePolicyProperty,
              NeverHedgesWhatMustNotRunTwice,
              (bool repeatable, std::uint8_t attempts, std::uint8_t tokens)) {
  const hedge_policy policy = MakeLearned();
  retry_budget budget;
  hedge_facts facts = MakeFacts();
  facts.repeatable = repeatable;
  facts.attempts_in_flight = attempts % 3;
  facts.tokens_received = tokens % 3;
  const double before = budget.Balance();
  const bool hedged = policy.ShouldHedge(facts, budget);
  RC_ASSERT(hedged == (repeatable && attempts % 3 == 1 && tokens % 3 == 0));
  RC_ASSERT(budget.Balance() == before - (hedged ? 1 : 0));
}

// Guards against extra load beyond the budget while a whole service is slow.
TEST(HedgePolicy, SpentBudgetStopsHedges) {
  const hedge_policy policy = MakeLearned();
  retry_budget budget({.initial_balance = 1});
  EXPECT_TRUE(policy.ShouldHedge(MakeFacts(), budget));
  EXPECT_FALSE(policy.ShouldHedge(MakeFacts(), budget));
}

}  // namespace
}  // namespace tarragon::policy
