#include "tarragon/routing/slowness_tracker.h"

#include <gtest/gtest.h>

#include <cmath>

namespace tarragon::routing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Guards against mistaking a temporary slowdown for the speed of the machine.
TEST(SlownessTrackerTest, MinimumIgnoresTemporarySlowdown) {
  slowness_tracker slowness;
  const time_point now{seconds(5)};
  EXPECT_EQ(slowness.Minimum(), std::nullopt);
  slowness.Record(now, 2.5);
  EXPECT_EQ(slowness.Minimum(), 2.5);
  slowness.Record(now + milliseconds(600), 1.0);
  slowness.Record(now + milliseconds(900), 2.5);
  EXPECT_EQ(slowness.Minimum(), 1.0);
  EXPECT_EQ(slowness.Current(now + milliseconds(900)), 2.5);
}

// Guards against treating an endpoint as fast although it has been slow for a long time.
TEST(SlownessTrackerTest, ForgetsOldMinimum) {
  slowness_tracker slowness;
  time_point now{seconds(5)};
  slowness.Record(now, 1.0);
  for (int i = 0; i < 110; ++i) {
    now += milliseconds(100);
    slowness.Record(now, 4.0);
  }
  EXPECT_EQ(slowness.Minimum(), 4.0);
}

// Guards against a stale slowness report that keeps requests away from an endpoint.
TEST(SlownessTrackerTest, IgnoresStaleReport) {
  slowness_tracker slowness;
  const time_point now{seconds(5)};
  slowness.Record(now, 9);
  EXPECT_EQ(slowness.Current(now + seconds(1)), 1.0);
}

// Guards against daemons that pass a value back and forth forever: a daemon reports only values
// that it measured itself.
TEST(SlownessTrackerTest, PeerMinimumIsNotOwn) {
  slowness_tracker slowness;
  slowness.SetPeerMinimum(1.3);
  EXPECT_EQ(slowness.Minimum(), 1.3);
  EXPECT_EQ(slowness.OwnMinimum(), std::nullopt);
  slowness.SetPeerMinimum(std::nullopt);
  EXPECT_EQ(slowness.Minimum(), std::nullopt);
}

// Guards against an invalid report that makes an engine look infinitely fast: predictions scale
// with the minimum slowness, and a minimum of NaN would stay.
TEST(SlownessTrackerTest, IgnoresInvalidValues) {
  slowness_tracker slowness;
  slowness.Record(time_point{}, 0);
  slowness.Record(time_point{}, -1);
  slowness.Record(time_point{}, std::nan(""));
  EXPECT_EQ(slowness.Minimum(), std::nullopt);
}

}  // namespace
}  // namespace tarragon::routing
