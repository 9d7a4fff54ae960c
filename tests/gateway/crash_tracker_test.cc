#include <fmt/format.h>
#include <gtest/gtest.h>

#include <array>
#include <chrono>
#include <memory>
#include <vector>

#include "gateway/request_handler_fixture.h"

namespace tarragon::gateway {
namespace {

class crash_tracker_test : public request_handler_fixture {
 protected:
  static constexpr std::size_t kCrashes = 3;

  std::shared_ptr<request_handler> StartWithPart(std::size_t number,
                                                 recording_response_writer& answer) {
    return Start("POST", "/report/1", fmt::format("body {}", number),
                 {{"Prompt-Prefix", fmt::format("aa:7,dead:9,{}:50", number)}}, &answer);
  }

  /** Starts requests that share a part, each at an engine of its own. */
  void StartAtEachEngine(const scripted_endpoint& engine) {
    for (std::size_t i = 0; i < kCrashes; ++i) {
      ListEndpoint(fmt::format("e{}", i), "engines", engine.address());
      handlers.push_back(StartWithPart(i, answers[i]));
    }
  }

  std::array<recording_response_writer, kCrashes> answers;
  std::vector<std::shared_ptr<request_handler>> handlers;
};

// Guards against a part that crashes slow engines, each long after the head of the response.
TEST_F(crash_tracker_test, PartThatCrashesSlowEnginesIsRefused) {
  scripted_endpoint engine(loop, [](auto& c) { c.Send(MakeStreamHead()); });
  StartAtEachEngine(engine);
  RunFor(std::chrono::milliseconds(700), [] { return false; });
  ASSERT_EQ(engine.connections.size(), kCrashes);
  for (const auto& connection : engine.connections) {
    connection->Reset();
  }
  ASSERT_TRUE(
      RunUntil([&] { return answers[0].done() && answers[1].done() && answers[2].done(); }));
  const auto handler = StartWithPart(kCrashes, response);
  ASSERT_TRUE(RunUntil([&] { return response.done(); }));
  EXPECT_EQ(response.status, 503);
}

// Guards against blaming streams that have run for long for the end of their engine.
TEST_F(crash_tracker_test, StreamsThatHaveRunForLongAreNotBlamed) {
  scripted_endpoint engine(loop, [](auto& c) { c.Send(MakeStreamHead() + MakeEvent(1)); });
  StartAtEachEngine(engine);
  RunFor(std::chrono::milliseconds(700), [] { return false; });
  for (const auto& connection : engine.connections) {
    connection->Send(MakeEvent(2));
    connection->Close();
  }
  ASSERT_TRUE(
      RunUntil([&] { return answers[0].done() && answers[1].done() && answers[2].done(); }));
  EXPECT_EQ(gateway.quarantine.record_count(), 0U);
}

}  // namespace
}  // namespace tarragon::gateway
