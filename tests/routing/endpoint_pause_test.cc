#include "tarragon/routing/endpoint_pause.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <vector>

namespace tarragon::routing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr time_point kStart{seconds(100)};

// Guards against requests within any of the times that an endpoint has stated: a shorter statement
// must not end a longer one.
RC_GTEST_PROP(EndpointPauseTest, CoversEachStatement, ()) {
  const auto stated_ms = *rc::gen::container<std::vector<int>>(rc::gen::inRange(-1000, 5000));
  endpoint_pause pause;
  time_point now = kStart;
  time_point expected_end = kStart;
  for (const int ms : stated_ms) {
    expected_end = std::max(expected_end, now + milliseconds(ms));
    pause.Record(now, milliseconds(ms));
    RC_ASSERT(pause.Remaining(now) == std::max(duration::zero(), duration(expected_end - now)));
    now += milliseconds(100);
  }
  RC_ASSERT(!pause.IsPaused(std::max(now, expected_end)));
}

// Guards against an endpoint that is never asked again, and against an overflow.
TEST(EndpointPauseTest, BoundsHugePauses) {
  endpoint_pause pause;
  EXPECT_TRUE(pause.Record(kStart, duration::max()));
  EXPECT_EQ(pause.Remaining(kStart), endpoint_pause::kMaxPause);
  EXPECT_FALSE(pause.Record(kStart, duration::max()));
  EXPECT_FALSE(pause.Record(kStart, duration::min()));
  EXPECT_FALSE(pause.IsPaused(kStart + endpoint_pause::kMaxPause));
}

}  // namespace
}  // namespace tarragon::routing
