#include "tarragon/policy/hedge_policy.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "tarragon/policy/retry_budget.h"

namespace tarragon::policy {
namespace {

using namespace std::chrono_literals;

hedge_policy MakePolicyWithSamples() {
  hedge_policy policy;
  for (int i = 0; i < 100; ++i) {
    policy.Record("lookup", std::chrono::milliseconds(i < 90 ? 20 : 60));
  }
  return policy;
}

hedge_context MakeContext() {
  return {.request_class = "lookup", .repeatable = true, .elapsed = 200ms, .time_left = 1s};
}

// Guards against hedging most requests, or requests of a class without latency samples.
TEST(HedgePolicy, WaitsForTheClassQuantile) {
  const hedge_policy policy = MakePolicyWithSamples();
  EXPECT_NEAR(std::chrono::duration<double>(*policy.Delay("lookup")).count(), 0.060, 0.010);
  EXPECT_FALSE(policy.Delay("report"));
  retry_budget budget;
  hedge_context context = MakeContext();
  EXPECT_TRUE(policy.ShouldHedge(context, budget));
  context.elapsed = 30ms;
  EXPECT_FALSE(policy.ShouldHedge(context, budget));
}

// Guards against running a call twice that may run only once, against mixing two responses and
// against hedging a hedge.
RC_GTEST_PROP(HedgePolicyProperty,
              NeverHedgesRequestsThatMustNotRunTwice,
              (bool repeatable, std::uint8_t attempts, std::uint8_t tokens)) {
  const hedge_policy policy = MakePolicyWithSamples();
  retry_budget budget;
  hedge_context context = MakeContext();
  context.repeatable = repeatable;
  context.attempts_in_flight = attempts % 3;
  context.tokens_received = tokens % 3;
  const double before = budget.Balance();
  const bool hedged = policy.ShouldHedge(context, budget);
  RC_ASSERT(hedged == (repeatable && attempts % 3 == 1 && tokens % 3 == 0));
  RC_ASSERT(budget.Balance() == before - (hedged ? 1 : 0));
}

// Guards against hedges beyond the retry budget while a whole service is slow.
TEST(HedgePolicy, ExhaustedBudgetStopsHedges) {
  const hedge_policy policy = MakePolicyWithSamples();
  retry_budget budget({.initial_balance = 1});
  EXPECT_TRUE(policy.ShouldHedge(MakeContext(), budget));
  EXPECT_FALSE(policy.ShouldHedge(MakeContext(), budget));
}

}  // namespace
}  // namespace tarragon::policy
