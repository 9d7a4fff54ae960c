#include "tarragon/gateway/stream_progress.h"

#include <gtest/gtest.h>

namespace tarragon::gateway {
namespace {

using std::chrono::milliseconds;

// Guards against events that reach the caller twice when an engine repeats the last ones.
TEST(StreamProgressTest, EventsThatTheCallerHasAreLeftOut) {
  stream_progress stream;
  stream.StartBehind(4);
  const auto batch = stream.Feed("id: 4\ndata: a\n\nid: 5\ndata: b\n\n");
  ASSERT_TRUE(batch);
  EXPECT_EQ(batch->bytes, "id: 5\ndata: b\n\n");
  EXPECT_EQ(batch->events, 2U);
  EXPECT_EQ(stream.last_event(), 5U);
  EXPECT_EQ(stream.events_sent(), 1U);
}

// Guards against joining half an event of one engine with the stream of the next.
TEST(StreamProgressTest, FurtherSendForgetsHalfAnEvent) {
  stream_progress stream;
  ASSERT_TRUE(stream.Feed("id: 1\ndata: a\n\nid: 2\nda"));
  EXPECT_TRUE(stream.ends_inside_event());
  stream.BeginSend();
  EXPECT_TRUE(stream.awaits_first_of_send());
  EXPECT_EQ(stream.Feed("id: 2\ndata: b\n\n")->bytes, "id: 2\ndata: b\n\n");
}

TEST(StreamProgressTest, KeepsTheLongestPauseOverAllSends) {
  stream_progress stream;
  time_point now{std::chrono::seconds(1)};
  EXPECT_EQ(stream.NoteArrival(now, {"x", 1}), std::nullopt);
  EXPECT_EQ(stream.NoteArrival(now += milliseconds(30), {"x", 1}), milliseconds(30));
  stream.BeginSend();
  EXPECT_EQ(stream.NoteArrival(now += milliseconds(90), {"x", 1}), milliseconds(90));
  EXPECT_EQ(stream.longest_pause(), milliseconds(90));
  EXPECT_FALSE(stream.awaits_first_of_send());
}

}  // namespace
}  // namespace tarragon::gateway
