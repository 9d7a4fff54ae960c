#include "tarragon/gateway/stream_progress.h"

#include <gtest/gtest.h>

namespace tarragon::gateway {
namespace {

using std::chrono::milliseconds;

// Guards against duplicate events at the caller when an engine repeats the last events.
TEST(StreamProgressTest, SkipsEventsThatTheCallerHas) {
  stream_progress stream;
  stream.StartAfter(4);
  const auto batch = stream.Feed("id: 4\ndata: a\n\nid: 5\ndata: b\n\n");
  ASSERT_TRUE(batch);
  EXPECT_EQ(batch->bytes, "id: 5\ndata: b\n\n");
  EXPECT_EQ(batch->events, 2U);
  EXPECT_EQ(stream.last_event(), 5U);
  EXPECT_EQ(stream.events_sent(), 1U);
}

// Guards against joining a partial event of one engine with the stream of the next engine.
TEST(StreamProgressTest, NewSendDiscardsAPartialEvent) {
  stream_progress stream;
  ASSERT_TRUE(stream.Feed("id: 1\ndata: a\n\nid: 2\nda"));
  EXPECT_TRUE(stream.has_partial_event());
  stream.BeginSend();
  EXPECT_TRUE(stream.is_awaiting_first_event());
  EXPECT_EQ(stream.Feed("id: 2\ndata: b\n\n")->bytes, "id: 2\ndata: b\n\n");
}

// Guards against a logged longest pause that omits the time in which a stream moved to another
// engine.
TEST(StreamProgressTest, TracksTheLongestPauseOverAllSends) {
  stream_progress stream;
  time_point now{std::chrono::seconds(1)};
  EXPECT_EQ(stream.RecordArrival(now, {"x", 1}), std::nullopt);
  EXPECT_EQ(stream.RecordArrival(now += milliseconds(30), {"x", 1}), milliseconds(30));
  stream.BeginSend();
  EXPECT_EQ(stream.RecordArrival(now += milliseconds(90), {"x", 1}), milliseconds(90));
  EXPECT_EQ(stream.longest_pause(), milliseconds(90));
  EXPECT_FALSE(stream.is_awaiting_first_event());
}

// Guards against a stopping process that takes an engine for slow after one silence, and refuses
// streams that end in time.
TEST(StreamProgressTest, MeanIntervalLeavesOneSilenceOut) {
  stream_progress stream;
  time_point now{std::chrono::seconds(1)};
  for (const int pause : {0, 30, 30, 1300, 30, 30}) {
    stream.RecordArrival(now += milliseconds(pause), {"x", 1});
  }
  EXPECT_EQ(stream.MeanInterval(), milliseconds(30));
  stream.RecordArrival(now += milliseconds(1300), {"x", 1});
  EXPECT_GT(stream.MeanInterval(), milliseconds(250));
}

}  // namespace
}  // namespace tarragon::gateway
