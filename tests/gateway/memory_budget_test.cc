#include "tarragon/gateway/memory_budget.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <chrono>
#include <vector>

namespace tarragon::gateway {
namespace {

using std::chrono::seconds;

constexpr std::size_t kKilobyte = 1024;
constexpr time_point kStart{};

memory_budget MakeBudget(const memory_budget_options& options) {
  memory_budget budget;
  budget.SetOptions(options);
  return budget;
}

// Load: one honest upload of 4 MB among callers that stopped sending. Guards against closing the
// connection that holds most although it moves.
TEST(MemoryBudgetTest, StalledUploadsGiveWayBeforeAFastOne) {
  memory_budget budget = MakeBudget({.bytes = 8192 * kKilobyte});
  std::vector<memory_budget::connection_id> stalled;
  for (int i = 0; i < 10; ++i) {
    stalled.push_back(budget.Open(kStart));
    budget.Update(stalled.back(), {.reading = 500 * kKilobyte}, kStart);
  }
  const auto upload = budget.Open(kStart + seconds(10));
  budget.Update(upload, {.reading = 4096 * kKilobyte}, kStart + seconds(10));
  const auto chosen = budget.ChooseToClose(kStart + seconds(11));
  ASSERT_FALSE(chosen.empty());
  EXPECT_EQ(std::ranges::count(chosen, upload), 0);
  EXPECT_LT(chosen.size(), stalled.size());
}

// Load: requests in service fill the budget. Guards against dropping a request that may have run.
TEST(MemoryBudgetTest, RequestsInServiceAreNeverDropped) {
  memory_budget budget = MakeBudget({.bytes = 100 * kKilobyte, .connections = 1});
  const auto serving = budget.Open(kStart);
  budget.Update(serving, {.serving = 400 * kKilobyte}, kStart);
  const auto idle = budget.Open(kStart + seconds(5));
  EXPECT_EQ(budget.ChooseToClose(kStart + seconds(6)),
            std::vector<memory_budget::connection_id>{idle});
}

// Load: callers that do not read their streams. Guards against a slow reader that counts as new
// because it takes a byte now and then.
TEST(MemoryBudgetTest, SlowReaderDoesNotBecomeYoungerByReadingALittle) {
  memory_budget budget = MakeBudget({.bytes = 1000 * kKilobyte});
  const auto slow = budget.Open(kStart);
  for (int second = 0; second < 10; ++second) {
    budget.Update(slow, {.serving = kKilobyte, .unread = (600 - second) * kKilobyte},
                  kStart + seconds(second));
  }
  const auto reading = budget.Open(kStart + seconds(9));
  budget.Update(reading, {.serving = kKilobyte, .unread = 700 * kKilobyte}, kStart + seconds(9));
  const auto chosen = budget.ChooseToClose(kStart + seconds(10));
  ASSERT_FALSE(chosen.empty());
  EXPECT_EQ(chosen.front(), slow);
}

// Guards against a pause of small requests, and of all requests where no limit is set.
TEST(MemoryBudgetTest, SmallRequestsAreReadWhileMemoryIsScarce) {
  memory_budget budget = MakeBudget({.bytes = 1000 * kKilobyte});
  const auto large = budget.Open(kStart);
  budget.Update(large, {.reading = 900 * kKilobyte}, kStart);
  const auto small = budget.Open(kStart);
  EXPECT_EQ(budget.state(), memory_state::kScarce);
  EXPECT_FALSE(budget.MayRead(large));
  EXPECT_TRUE(budget.MayRead(small));
  budget.Close(large);
  EXPECT_EQ(budget.state(), memory_state::kCalm);
  budget.SetOptions({});
  budget.Update(small, {.reading = 900 * kKilobyte}, kStart);
  EXPECT_TRUE(budget.MayRead(small));
  EXPECT_TRUE(budget.ChooseToClose(kStart + seconds(9)).empty());
}

// Load: silent connections take the descriptors. Guards against refusing new callers instead.
TEST(MemoryBudgetTest, LongestIdleConnectionsGiveUpTheirDescriptors) {
  memory_budget budget = MakeBudget({.connections = 2});
  const auto oldest = budget.Open(kStart);
  budget.Open(kStart + seconds(1));
  budget.Open(kStart + seconds(2));
  EXPECT_EQ(budget.ChooseToClose(kStart + seconds(3)),
            std::vector<memory_budget::connection_id>{oldest});
}

}  // namespace
}  // namespace tarragon::gateway
