#include <gtest/gtest.h>

#include <chrono>
#include <memory>

#include "gateway/request_handler_fixture.h"
#include "tarragon/routing/sound_silence.h"

namespace tarragon::gateway {
namespace {

/** A gateway that is stopping while its endpoints have no room. */
class stopping_process_test : public request_handler_fixture {
 protected:
  static constexpr std::chrono::milliseconds kWait{400};

  stopping_process_test() {
    gateway.paces["engines"].RecordInterval(time.Now(), std::chrono::milliseconds(10));
  }

  /** Fills the only engine, or makes room in it. */
  void SetFull(bool is_full) {
    gateway.endpoints.Find("e1")->own_load = {.requests = is_full ? 24U : 0U,
                                              .tokens = is_full ? 34000U : 0U};
  }

  void StopIn(std::chrono::milliseconds remaining) {
    gateway.draining = true;
    gateway.exit_at = time.Now() + remaining;
  }

  /**
   * A generation of 0.3 s to start, and tokens of 14.3 ms at most. Its caller waits for longer than
   * the process runs.
   */
  static std::vector<http::header> ShortGeneration(const char* usage = "10,50") {
    return {{"Token-Usage", usage}, {"Deadline-Ms", "3000"}};
  }
};

// Guards against a stream that waits for an engine until too little of the grace period is left, is
// sent then, and is cut off when the process ends.
TEST_F(stopping_process_test, StreamThatWaitedTooLongIsRefusedNotSent) {
  scripted_endpoint engine(loop, [](auto& c) { c.Send(MakeStreamHead() + MakeEvent(1)); });
  ListEndpoint("e1", "engines", engine.address());
  SetFull(true);
  StopIn(std::chrono::milliseconds(1200) + routing::kLongestSoundSilence);
  const auto handler = Start("POST", "/report/1", "b", ShortGeneration());
  RunFor(kWait, [&] { return response.done(); });
  SetFull(false);
  ASSERT_TRUE(RunUntil([&] { return response.done(); }));
  EXPECT_EQ(response.status, 503);
  EXPECT_TRUE(response.headers.Find("Retry-After").has_value());
  EXPECT_TRUE(engine.connections.empty());
}

// Guards against the same for a stream that was accepted before the process was told to stop.
TEST_F(stopping_process_test, StreamAcceptedBeforeTheStopIsRefusedIfItCannotEnd) {
  scripted_endpoint engine(loop, [](auto& c) { c.Send(MakeStreamHead() + MakeEvent(1)); });
  ListEndpoint("e1", "engines", engine.address());
  SetFull(true);
  const auto handler = Start("POST", "/report/1", "b", ShortGeneration());
  StopIn(std::chrono::milliseconds(800));
  SetFull(false);
  ASSERT_TRUE(RunUntil([&] { return response.done(); }));
  EXPECT_EQ(response.status, 503);
  EXPECT_TRUE(engine.connections.empty());
}

// Guards against a stream that is sent so late that one moment of silence of its sound engine makes
// it outlast the process, which cuts it off.
TEST_F(stopping_process_test, StreamThatOneSilenceWouldCutIsRefusedNotSent) {
  scripted_endpoint engine(loop, [](auto& c) { c.Send(MakeStreamHead() + MakeEvent(1)); });
  ListEndpoint("e1", "engines", engine.address());
  StopIn(std::chrono::milliseconds(2400));
  const auto handler = Start("POST", "/report/1", "b", ShortGeneration());
  ASSERT_TRUE(RunFor(kWait, [&] { return response.done(); }));
  EXPECT_EQ(response.status, 503);
  EXPECT_TRUE(engine.connections.empty());
}

// Guards against refusing streams for many seconds after a silence, as if engines were slow.
TEST_F(stopping_process_test, SilenceBeforeTheStopIsNoSlowStart) {
  scripted_endpoint engine(loop, [](auto&) {});
  ListEndpoint("e1", "engines", engine.address());
  const auto running = Start("POST", "/report/1", "b", ShortGeneration());
  ASSERT_TRUE(RunUntil([&] { return !engine.connections.empty(); }));
  engine.connections[0]->Send(MakeStreamHead() + MakeEvent(1));
  ASSERT_TRUE(RunUntil([&] { return !response.body.empty(); }));
  recording_response_writer second;
  const auto held_up = Start("POST", "/report/2", "b", ShortGeneration(), &second);
  RunFor(std::chrono::milliseconds(900), [] { return false; });
  engine.connections.at(0)->Send(MakeEvent(2));
  engine.connections.at(1)->Send(MakeStreamHead() + MakeEvent(1));
  ASSERT_TRUE(RunUntil([&] { return !second.body.empty(); }));
  EXPECT_LT(gateway.PaceOf("engines").SlowestFirstEvent(time.Now()),
            std::chrono::milliseconds(300));
  running->OnCallerGone();
  held_up->OnCallerGone();
}

// Guards against a stream that leaves a sound engine after a silence for another one, where the end
// of the process cuts it off.
TEST_F(stopping_process_test, StreamWaitsForASilentEngineIfAnotherWouldBeTooLate) {
  scripted_endpoint silent(loop, [](auto& c) { c.Send(MakeStreamHead() + MakeEvent(1)); });
  scripted_endpoint other(loop, [](auto&) {});
  ListEndpoint("e1", "engines", silent.address());
  ListEndpoint("e2", "engines", other.address());
  gateway.endpoints.Find("e2")->own_load = {.requests = 3, .unread_tokens = 1000};
  const auto handler = Start("POST", "/short/1", "b", ShortGeneration());
  ASSERT_TRUE(RunUntil([&] { return !response.body.empty(); }));
  StopIn(std::chrono::milliseconds(2600));
  RunFor(std::chrono::milliseconds(1400), [&] { return response.done(); });
  EXPECT_TRUE(other.connections.empty());
  silent.connections.at(0)->Send(MakeEvent(2) + std::string(kLastChunk));
  ASSERT_TRUE(RunUntil([&] { return response.done(); }));
  EXPECT_TRUE(response.ended);
  gateway.endpoints.Find("e2")->own_load = {};
}

// Guards against refusing what still has time to end.
TEST_F(stopping_process_test, StreamThatCanStillEndIsSent) {
  scripted_endpoint engine(
      loop, [](auto& c) { c.Send(MakeStreamHead() + MakeEvent(1) + std::string(kLastChunk)); });
  ListEndpoint("e1", "engines", engine.address());
  SetFull(true);
  StopIn(std::chrono::milliseconds(2900));
  const auto handler = Start("POST", "/report/1", "b", ShortGeneration("10,20"));
  RunFor(kWait, [&] { return response.done(); });
  SetFull(false);
  ASSERT_TRUE(RunUntil([&] { return response.done(); }));
  EXPECT_EQ(response.status, 200);
  EXPECT_TRUE(response.ended);
}

// Guards against a call whose endpoint turned it away and that is sent again too late in a stop.
TEST_F(stopping_process_test, CallThatWasDeclinedIsNotSentAgainTooLate) {
  scripted_endpoint declines(loop, [](auto& c) {
    c.Send(MakeResponse("503 Service Unavailable", "", "Not-Executed: 1\r\n"));
  });
  scripted_endpoint sound(loop, [](auto&) {});
  ListEndpoint("e1", "calls", declines.address());
  ListEndpoint("e2", "calls", sound.address());
  gateway.endpoints.Find("e2")->own_load = {.requests = 3};
  const auto handler = Start("POST", "/unsafe/1", "b");
  StopIn(std::chrono::milliseconds(1500));
  ASSERT_TRUE(RunUntil([&] { return response.done(); }));
  EXPECT_EQ(response.status, 503);
  EXPECT_TRUE(sound.connections.empty());
}

}  // namespace
}  // namespace tarragon::gateway
