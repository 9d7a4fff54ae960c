#include "tarragon/routing/event_interval_tracker.h"

#include <gtest/gtest.h>

namespace tarragon::routing {
namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;

class event_interval_tracker_test : public testing::Test {
 protected:
  /** Records an interval with `running` generations in flight, that of the stream included. */
  void Record(milliseconds interval, std::uint32_t running = 0) {
    now += milliseconds(50);
    tracker.Record(now, interval, running);
  }

  time_point now{std::chrono::seconds(9)};
  event_interval_tracker tracker;
};

// Guards against an engine that is treated as slow because of prefills during its streams.
TEST_F(event_interval_tracker_test, IgnoresLongIntervals) {
  EXPECT_EQ(tracker.Estimate(), std::nullopt);
  for (int i = 0; i < 40; ++i) {
    Record(milliseconds(i % 2 == 0 ? 150 : 30));
  }
  EXPECT_EQ(tracker.Estimate(), milliseconds(30));
}

// Guards against delayed events that arrive together and make an engine look fast.
TEST_F(event_interval_tracker_test, IgnoresFewShortIntervals) {
  for (int i = 0; i < 40; ++i) {
    Record(milliseconds(i % 10 == 0 ? 1 : 30));
  }
  EXPECT_EQ(tracker.Estimate(), milliseconds(30));
}

// Guards against confusing a busy fast engine with an idle slow one (dobrescu-gaz, scale-1:
// both had a median of 37 ms, and long streams went to slow engines).
TEST_F(event_interval_tracker_test, CorrectsIntervalsForBatchSize) {
  event_interval_tracker idle_tracker;
  for (int i = 0; i < 40; ++i) {
    Record(milliseconds(37), 18);
    idle_tracker.Record(now, milliseconds(37), 1);
  }
  ASSERT_TRUE(tracker.Estimate() && idle_tracker.Estimate());
  EXPECT_LT(*tracker.Estimate(), milliseconds(29));
  EXPECT_GT(*idle_tracker.Estimate(), milliseconds(36));
}

// Guards against an estimate from many streams during one short slowdown.
TEST_F(event_interval_tracker_test, SamplesSimultaneousIntervalsOnce) {
  for (int i = 0; i < 100; ++i) {
    now += microseconds(500);
    tracker.Record(now, milliseconds(75), 0);
  }
  EXPECT_EQ(tracker.Estimate(), std::nullopt);
  EXPECT_FALSE(tracker.IsSettled());
}

// Guards against an old estimate of other daemons that hides the intervals measured here, or that
// this daemon passes on as its own.
TEST_F(event_interval_tracker_test, OwnEstimateReplacesPeerEstimate) {
  tracker.SetPeerEstimate(milliseconds(50));
  EXPECT_EQ(tracker.Estimate(), milliseconds(50));
  EXPECT_EQ(tracker.OwnEstimate(), std::nullopt);
  for (int i = 0; i < 24; ++i) {
    Record(milliseconds(28));
  }
  EXPECT_EQ(tracker.Estimate(), milliseconds(28));
  EXPECT_TRUE(tracker.IsSettled());
}

}  // namespace
}  // namespace tarragon::routing
