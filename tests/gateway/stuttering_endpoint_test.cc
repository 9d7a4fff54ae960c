#include <gtest/gtest.h>

#include <asio/steady_timer.hpp>
#include <chrono>
#include <memory>
#include <string>

#include "gateway/request_handler_fixture.h"

namespace tarragon::gateway {
namespace {

/** An endpoint that answers twice; the parameter is the time between the answers. */
class stuttering_endpoint_test : public request_handler_fixture,
                                 public testing::WithParamInterface<std::chrono::milliseconds> {
 protected:
  /** Sends an answer, and again after the pause if the connection still takes it. */
  void Stutter(scripted_connection& connection, const std::string& answer) {
    if (GetParam() == std::chrono::milliseconds(0)) {
      connection.Send(answer + answer);
      return;
    }
    connection.Send(answer);
    auto timer = std::make_shared<asio::steady_timer>(loop, GetParam());
    timer->async_wait([timer, &connection, answer](const asio::error_code&) {
      if (!connection.closed_by_peer()) {
        connection.Send(answer);
      }
    });
  }
};

// Guards against a second answer that reaches the caller with the first one, or the next caller.
TEST_P(stuttering_endpoint_test, SecondAnswerReachesNoCaller) {
  scripted_endpoint endpoint(loop, [this](auto& c) { Stutter(c, MakeResponse("200 OK", "fine")); });
  ListEndpoint("e1", "calls", endpoint.address());
  for (int i = 0; i < 4; ++i) {
    response = {};
    const auto handler = Start("POST", "/unsafe/1", "b");
    ASSERT_TRUE(RunUntil([&] { return response.done(); }));
    EXPECT_EQ(response.status, 200);
    EXPECT_EQ(response.body, "fine");
    RunFor(std::chrono::milliseconds(30), [] { return false; });
  }
  EXPECT_EQ(endpoint.connections.size(), 4U);
}

// Guards against the same for a stream.
TEST_P(stuttering_endpoint_test, SecondStreamIsNotJoinedToTheFirst) {
  scripted_endpoint endpoint(loop, [this](auto& c) {
    Stutter(c, MakeStreamHead() + MakeEvent(1) + MakeEvent(2) + std::string(kLastChunk));
  });
  ListEndpoint("e1", "engines", endpoint.address());
  const auto handler = Start("POST", "/report/1", "b");
  ASSERT_TRUE(RunUntil([&] { return response.done(); }));
  RunFor(std::chrono::milliseconds(30), [] { return false; });
  EXPECT_TRUE(response.ended);
  EXPECT_EQ(response.body, EventsText(1, 2));
}

// Guards against a late answer to another request that is taken for this request's.
TEST_P(stuttering_endpoint_test, AnswerToAnotherRequestIsSkipped) {
  scripted_endpoint endpoint(loop, [this](auto& c) {
    Stutter(c, MakeResponse("200 OK", "foreign", "Response-Signature: s\r\n", "other"));
    c.Send(MakeResponse("200 OK", "fine"));
  });
  ListEndpoint("e1", "calls", endpoint.address());
  const auto handler = Start("POST", "/unsafe/1", "b");
  ASSERT_TRUE(RunUntil([&] { return response.done(); }));
  EXPECT_EQ(response.status, 200);
  EXPECT_EQ(response.body, "fine");
}

INSTANTIATE_TEST_SUITE_P(Pauses,
                         stuttering_endpoint_test,
                         testing::Values(std::chrono::milliseconds(0),
                                         std::chrono::milliseconds(1),
                                         std::chrono::milliseconds(10)));

}  // namespace
}  // namespace tarragon::gateway
