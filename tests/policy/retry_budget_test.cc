#include "tarragon/policy/retry_budget.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <vector>

namespace tarragon::policy {
namespace {

// Guards against a retry storm: for any order of calls, extra attempts stay within 5% of the
// requests plus the initial balance.
RC_GTEST_PROP(RetryBudget,
              ExtraAttemptsStayWithinBudget,
              (const std::vector<std::uint8_t>& calls)) {
  retry_budget budget;
  double requests = 0;
  double taken = 0;
  for (const std::uint8_t call : calls) {
    if (call % 3 == 0) {
      taken += budget.TryTake() ? 1 : 0;
    } else if (call % 17 == 1) {
      budget.TakeUnconditionally();
    } else {
      budget.RecordRequest();
      requests += 1;
    }
    budget.Validate();
    RC_ASSERT(taken <= 3 + 0.05 * requests + 1e-6);
  }
}

// Guards against hedges that continue while lost generations are being retried.
TEST(RetryBudget, UnconditionalTakesDelayHedges) {
  retry_budget budget({.initial_balance = 2});
  budget.TakeUnconditionally();
  budget.TakeUnconditionally();
  budget.TakeUnconditionally();
  EXPECT_FALSE(budget.TryTake());
  for (int i = 0; i < 41; ++i) {
    budget.RecordRequest();
  }
  EXPECT_TRUE(budget.TryTake());
}

}  // namespace
}  // namespace tarragon::policy
