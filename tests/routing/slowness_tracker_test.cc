#include "tarragon/routing/slowness_tracker.h"

#include <gtest/gtest.h>

#include <cmath>

namespace tarragon::routing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Guards against a slow moment that is taken for the speed of the machine.
TEST(SlownessTrackerTest, LeastOutlivesASlowMoment) {
  slowness_tracker slowness;
  const time_point now{seconds(5)};
  EXPECT_EQ(slowness.Least(), std::nullopt);
  slowness.Record(now, 2.5);
  EXPECT_EQ(slowness.Least(), 2.5);
  slowness.Record(now + milliseconds(600), 1.0);
  slowness.Record(now + milliseconds(900), 2.5);
  EXPECT_EQ(slowness.Least(), 1.0);
  EXPECT_EQ(slowness.Current(now + milliseconds(900)), 2.5);
}

// Guards against an endpoint that turns slow for long and is still taken for fast.
TEST(SlownessTrackerTest, OldLeastIsForgotten) {
  slowness_tracker slowness;
  time_point now{seconds(5)};
  slowness.Record(now, 1.0);
  for (int i = 0; i < 110; ++i) {
    now += milliseconds(100);
    slowness.Record(now, 4.0);
  }
  EXPECT_EQ(slowness.Least(), 4.0);
}

// Guards against a stale report that keeps an endpoint out of use.
TEST(SlownessTrackerTest, OldReportIsForgotten) {
  slowness_tracker slowness;
  const time_point now{seconds(5)};
  slowness.Record(now, 9);
  EXPECT_EQ(slowness.Current(now + seconds(1)), 1.0);
}

// Guards against daemons that pass a value to and fro for ever: only own values are passed on.
TEST(SlownessTrackerTest, ToldValuesAreNotOwn) {
  slowness_tracker slowness;
  slowness.LearnLeast(1.3);
  EXPECT_EQ(slowness.Least(), 1.3);
  EXPECT_EQ(slowness.OwnLeast(), std::nullopt);
  slowness.LearnLeast(std::nullopt);
  EXPECT_EQ(slowness.Least(), std::nullopt);
}

TEST(SlownessTrackerTest, ValuesThatAreNoSlownessAreIgnored) {
  slowness_tracker slowness;
  slowness.Record(time_point{}, 0);
  slowness.Record(time_point{}, -1);
  slowness.Record(time_point{}, std::nan(""));
  EXPECT_EQ(slowness.Least(), std::nullopt);
}

}  // namespace
}  // namespace tarragon::routing
