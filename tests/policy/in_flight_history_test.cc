#include "tarragon/policy/in_flight_history.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <vector>

namespace tarragon::policy {
namespace {

using namespace std::chrono_literals;

constexpr time_point kStart{1h};

// Guards against correcting a delayed report with the current count instead of the past one.
TEST(InFlightHistory, ReturnsPastValues) {
  in_flight_history history;
  history.Record(kStart, 1);
  history.Record(kStart + 1s, 5);
  history.Record(kStart + 2s, 2);
  EXPECT_EQ(history.At(kStart + 500ms), 1U);
  EXPECT_EQ(history.At(kStart + 1s), 5U);
  EXPECT_EQ(history.At(kStart + 9s), 2U);
  EXPECT_EQ(history.At(kStart - 9s), 1U);
  EXPECT_EQ(in_flight_history().At(kStart), 0U);
}

// Guards against a history that keeps only its last value if the count changes all the time:
// lookups must be exact to within one resolution over the documented time.
RC_GTEST_PROP(InFlightHistory, StaysWithinOneResolution, ()) {
  const auto steps = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 40));
  in_flight_history history(20ms, 8);
  std::vector<time_point> changes;
  time_point now = kStart;
  for (const int step : steps) {
    now += std::chrono::milliseconds(step);
    changes.push_back(now);
    history.Record(now, changes.size());
  }
  for (std::size_t i = 0; i < changes.size(); ++i) {
    if (now - changes[i] > 60ms) {
      continue;
    }
    const std::uint64_t value = history.At(changes[i]);
    RC_ASSERT(value >= 1 && value <= changes.size());
    const duration error = changes[value - 1] - changes[i];
    RC_ASSERT(error <= 20ms && error >= -20ms);
  }
}

}  // namespace
}  // namespace tarragon::policy
