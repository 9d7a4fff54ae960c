#include "tarragon/routing/send_budget.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <deque>
#include <vector>

namespace tarragon::routing {
namespace {

using std::chrono::milliseconds;

constexpr send_budget_options kOptions{0.2, 54, std::chrono::seconds(10)};

// Guards against a fleet that exceeds its bound on extra sends because each daemon uses the whole
// slack.
TEST(SendBudgetTest, SlackIsDividedAmongDaemons) {
  send_budget budget(kOptions);
  const time_point now{std::chrono::seconds(100)};
  int taken = 0;
  while (budget.TryTake(now, 9)) {
    ++taken;
  }
  EXPECT_EQ(taken, 6);
}

// Guards against a busy daemon that may make no more extra sends than an idle one, and against
// requests that still count after the window has passed.
TEST(SendBudgetTest, RequestsAddExtraSends) {
  send_budget budget({0.2, 0, std::chrono::seconds(10)});
  time_point now{std::chrono::seconds(100)};
  for (int i = 0; i < 10; ++i) {
    budget.RecordRequest(now);
  }
  EXPECT_TRUE(budget.TryTake(now, 1));
  EXPECT_TRUE(budget.TryTake(now, 1));
  EXPECT_FALSE(budget.TryTake(now, 1));
  now += std::chrono::seconds(12);
  EXPECT_EQ(budget.Remaining(now, 1), 0);
}

// Guards against a reload of the settings that resets the count of sends.
TEST(SendBudgetTest, NewAllowanceKeepsCountedSends) {
  send_budget budget({0, 2, std::chrono::seconds(10)});
  const time_point now{std::chrono::seconds(100)};
  EXPECT_TRUE(budget.TryTake(now, 1));
  EXPECT_TRUE(budget.TryTake(now, 1));
  budget.SetAllowance(0, 3);
  EXPECT_TRUE(budget.TryTake(now, 1));
  EXPECT_FALSE(budget.TryTake(now, 1));
}

/** One action at one daemon: a request or an attempt at an extra send. */
struct step {
  std::size_t daemon;
  bool request;
  int wait_ms;
};

// Guards against daemons that, without messages between them, together make more extra sends in a
// window than the share of the requests plus the slack. Requests are counted in the window, in the
// window before it and in the one halfway between them; the largest of the three counts applies.
RC_GTEST_PROP(SendBudgetTest, FleetStaysWithinBoundWithoutMessages, ()) {
  constexpr std::size_t kDaemons = 4;
  std::vector<send_budget> budgets(kDaemons, send_budget(kOptions));
  const auto steps = *rc::gen::container<std::vector<step>>(
      400, rc::gen::construct<step>(rc::gen::inRange<std::size_t>(0, kDaemons),
                                    rc::gen::arbitrary<bool>(), rc::gen::inRange(0, 150)));
  std::vector<time_point> requests;
  std::vector<time_point> sends;
  time_point now{std::chrono::seconds(1000)};
  const auto count_within = [](const std::vector<time_point>& times, time_point from,
                               time_point to) {
    return std::ranges::count_if(times, [&](time_point t) { return t > from && t <= to; });
  };
  for (const step& next : steps) {
    now += milliseconds(next.wait_ms);
    if (next.request) {
      budgets[next.daemon].RecordRequest(now);
      requests.push_back(now);
    } else if (budgets[next.daemon].TryTake(now, kDaemons)) {
      sends.push_back(now);
      const time_point start = now - kOptions.window;
      const auto counted = std::max(
          {count_within(requests, start, now),
           count_within(requests, start - kOptions.window, start),
           count_within(requests, start - kOptions.window / 2, now - kOptions.window / 2)});
      RC_ASSERT(static_cast<double>(count_within(sends, start, now)) <=
                kOptions.share * static_cast<double>(counted) + kOptions.slack);
    }
  }
}

}  // namespace
}  // namespace tarragon::routing
