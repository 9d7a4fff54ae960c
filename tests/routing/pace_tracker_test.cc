#include "tarragon/routing/pace_tracker.h"

#include <gtest/gtest.h>

namespace tarragon::routing {
namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;

class pace_tracker_test : public testing::Test {
 protected:
  /** Records an interval as a stream that runs with `running - 1` others would see it. */
  void Record(milliseconds interval, std::uint32_t running = 0) {
    now += milliseconds(50);
    pace.Record(now, interval, running);
  }

  time_point now{std::chrono::seconds(9)};
  pace_tracker pace;
};

// Guards against an engine that is taken for slow because prompts were read beside its streams.
TEST_F(pace_tracker_test, LongIntervalsDoNotCount) {
  EXPECT_EQ(pace.Get(), std::nullopt);
  for (int i = 0; i < 40; ++i) {
    Record(milliseconds(i % 2 == 0 ? 150 : 30));
  }
  EXPECT_EQ(pace.Get(), milliseconds(30));
}

// Guards against events that were held up on the way and make an engine look fast.
TEST_F(pace_tracker_test, FewShortIntervalsDoNotCount) {
  for (int i = 0; i < 40; ++i) {
    Record(milliseconds(i % 10 == 0 ? 1 : 30));
  }
  EXPECT_EQ(pace.Get(), milliseconds(30));
}

// Guards against a busy fast engine that is taken for an idle slow one (dobrescu-gaz, scale-1: with
// medians of 37 ms at both, long streams went to slow engines).
TEST_F(pace_tracker_test, IntervalsOfALargeBatchAreComparable) {
  pace_tracker idle;
  for (int i = 0; i < 40; ++i) {
    Record(milliseconds(37), 18);
    idle.Record(now, milliseconds(37), 1);
  }
  ASSERT_TRUE(pace.Get() && idle.Get());
  EXPECT_LT(*pace.Get(), milliseconds(29));
  EXPECT_GT(*idle.Get(), milliseconds(36));
}

// Guards against a verdict from the streams of one slow moment.
TEST_F(pace_tracker_test, IntervalsOfOneMomentCountOnce) {
  for (int i = 0; i < 100; ++i) {
    now += microseconds(500);
    pace.Record(now, milliseconds(75), 0);
  }
  EXPECT_EQ(pace.Get(), std::nullopt);
  EXPECT_FALSE(pace.IsSettled());
}

TEST_F(pace_tracker_test, OwnIntervalsReplaceWhatOthersTold) {
  pace.Learn(milliseconds(50));
  EXPECT_EQ(pace.Get(), milliseconds(50));
  EXPECT_EQ(pace.Own(), std::nullopt);
  for (int i = 0; i < 24; ++i) {
    Record(milliseconds(28));
  }
  EXPECT_EQ(pace.Get(), milliseconds(28));
  EXPECT_TRUE(pace.IsSettled());
}

}  // namespace
}  // namespace tarragon::routing
