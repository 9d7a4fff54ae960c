#include "tarragon/routing/admission_order.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <chrono>
#include <string>
#include <vector>

#include "tarragon/routing/account_usage.h"

namespace tarragon::routing {
namespace {

using std::chrono::milliseconds;

queued_request Request(int priority, milliseconds age, milliseconds objective) {
  return {.priority = priority, .age = age, .latency_objective = objective};
}

queued_request AnyRequest() {
  return {.priority = *rc::gen::inRange(0, 4),
          .age = milliseconds(*rc::gen::inRange(0, 6000)),
          .latency_objective = milliseconds(*rc::gen::element(1500, 1800, 4000)),
          .account_tokens = *rc::gen::inRange<std::uint64_t>(0, 5)};
}

// Guards against undefined behaviour of the sort, which needs a strict weak order.
RC_GTEST_PROP(AdmissionOrderTest, IsAStrictWeakOrder, ()) {
  const queued_request a = AnyRequest();
  const queued_request b = AnyRequest();
  const queued_request c = AnyRequest();
  RC_ASSERT(!Precedes(a, a));
  RC_ASSERT(!(Precedes(a, b) && Precedes(b, a)));
  RC_ASSERT(!(Precedes(a, b) && Precedes(b, c)) || Precedes(a, c));
}

// Guards against urgent requests that wait behind less urgent ones which can also still meet their
// objective.
RC_GTEST_PROP(AdmissionOrderTest, UrgentRequestsInTimeGoFirst, ()) {
  queued_request urgent = AnyRequest();
  queued_request other = AnyRequest();
  urgent.age = std::min(urgent.age, urgent.latency_objective);
  other.priority = urgent.priority + 1;
  RC_ASSERT(Precedes(urgent, other));
}

// Guards against requests that have missed their objective and keep others from meeting theirs.
TEST(AdmissionOrderTest, LateRequestsYield) {
  const queued_request late = Request(0, milliseconds(1600), milliseconds(1500));
  const queued_request in_time = Request(2, milliseconds(100), milliseconds(4000));
  EXPECT_TRUE(Precedes(in_time, late));
}

// Guards against a new request that overtakes one of its kind.
TEST(AdmissionOrderTest, EqualRequestsGoInTheOrderOfTheirObjectives) {
  const queued_request first = Request(1, milliseconds(900), milliseconds(1500));
  const queued_request second = Request(1, milliseconds(100), milliseconds(1500));
  EXPECT_TRUE(Precedes(first, second));
}

// Plays a large client account that sends three times what the engines can serve over a small one
// of the same priority. The requests of the small account all meet their objective, and the large
// one gets the rest of the room.
TEST(AdmissionOrderTest, ALargeAccountDoesNotCrowdOutASmallOne) {
  constexpr milliseconds kObjective{1500};
  constexpr milliseconds kStep{50};
  constexpr milliseconds kLastArrival{18'000};
  constexpr std::size_t kSlots = 20;
  constexpr milliseconds kService{1000};
  struct item {
    std::string account;
    milliseconds arrived;
    milliseconds ends{0};
    account_usage::hold tokens;
  };
  account_usage usage;
  std::vector<item> waiting;
  std::vector<item> running;
  int small_served = 0;
  int small_late = 0;
  int large_served = 0;
  for (milliseconds now{0}; now < std::chrono::seconds(20); now += kStep) {
    std::erase_if(running, [&](const item& known) { return known.ends <= now; });
    std::erase_if(waiting, [&](const item& known) { return now - known.arrived > 3 * kObjective; });
    for (int i = 0; i < 3 && now < kLastArrival; ++i) {
      waiting.push_back({"large", now, {}, {}});
    }
    if (now < kLastArrival && now.count() % 200 == 0) {
      waiting.push_back({"small", now, {}, {}});
    }
    while (!waiting.empty() && running.size() < kSlots) {
      const auto place = [&](const item& known) {
        return queued_request{.priority = 0,
                              .age = now - known.arrived,
                              .latency_objective = kObjective,
                              .account_tokens = usage.Tokens("s", known.account)};
      };
      const auto next = std::ranges::min_element(waiting, Precedes, place);
      const bool is_late = now - next->arrived > kObjective;
      (next->account == "small" ? small_served : large_served) += 1;
      small_late += next->account == "small" && is_late ? 1 : 0;
      next->ends = now + kService;
      next->tokens = {usage, "s", next->account, 2200};
      running.push_back(std::move(*next));
      waiting.erase(next);
    }
  }
  EXPECT_EQ(small_served, 90);
  EXPECT_EQ(small_late, 0);
  EXPECT_GT(large_served, 250);
}

}  // namespace
}  // namespace tarragon::routing
