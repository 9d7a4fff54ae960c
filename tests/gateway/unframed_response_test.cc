#include <fmt/format.h>
#include <gtest/gtest.h>

#include <chrono>
#include <memory>
#include <string>
#include <string_view>

#include "gateway/request_handler_fixture.h"

namespace tarragon::gateway {
namespace {

/** Head of a response that ends with its connection. */
std::string MakeUnframedHead(std::string_view content_type) {
  return fmt::format(
      "HTTP/1.1 200 OK\r\nAttempt-Id: {}\r\nResponse-Signature: s\r\nContent-Type: {}\r\n\r\n",
      kRequestId, content_type);
}

class unframed_response_test : public request_handler_fixture {
 protected:
  /** Lists an endpoint that sends `bytes` and closes its connection. */
  void ListEndpointThatSends(const std::string& service, const std::string& bytes) {
    endpoint = std::make_unique<scripted_endpoint>(loop, [bytes](auto& c) {
      c.Send(bytes);
      c.Close();
    });
    ListEndpoint("e1", service, endpoint->address());
  }

  std::unique_ptr<scripted_endpoint> endpoint;
};

// Guards against failing a call whose response ends with its connection.
TEST_F(unframed_response_test, CallEndsWithItsConnection) {
  ListEndpointThatSends("calls", MakeUnframedHead("text/plain") + "whole body");
  const auto handler = Start("POST", "/unsafe/1");
  ASSERT_TRUE(RunUntil([&] { return response.done(); }));
  EXPECT_TRUE(response.ended);
  EXPECT_EQ(response.status, 200);
  EXPECT_EQ(response.body, "whole body");
}

// Guards against a call that was reset on the way and reaches the caller as a complete success.
TEST_F(unframed_response_test, ResetCallIsNotComplete) {
  scripted_endpoint resets(loop, [](auto& c) { c.Send(MakeUnframedHead("text/plain") + "half"); });
  ListEndpoint("e1", "calls", resets.address());
  const auto handler = Start("POST", "/unsafe/1");
  RunFor(std::chrono::milliseconds(50), [&] { return response.done(); });
  resets.connections.at(0)->Reset();
  ASSERT_TRUE(RunUntil([&] { return response.done(); }));
  EXPECT_EQ(response.status, 502);
}

// Guards against cutting off a sound stream because its response ends with its connection.
TEST_F(unframed_response_test, StreamEndsWithItsConnection) {
  ListEndpointThatSends("engines", MakeUnframedHead("text/event-stream") + EventsText(1, 3));
  const auto handler = Start("POST", "/report/1", "b");
  ASSERT_TRUE(RunUntil([&] { return response.done(); }));
  EXPECT_TRUE(response.ended);
  EXPECT_EQ(response.body, EventsText(1, 3));
}

// Guards against a stream that broke off inside an event and ends as if it were complete.
TEST_F(unframed_response_test, StreamThatEndsInsideAnEventIsBrokenOff) {
  ListEndpointThatSends(
      "engines", MakeUnframedHead("text/event-stream") + EventsText(1, 2) + "id: 3\ndata: e3\n");
  const auto handler = Start("POST", "/report/1", "b");
  ASSERT_TRUE(RunUntil([&] { return response.done(); }));
  EXPECT_TRUE(response.aborted);
  EXPECT_EQ(response.body, EventsText(1, 2));
}

// Guards against a resumable stream that is not continued after it broke off inside an event.
TEST_F(unframed_response_test, ResumableStreamContinuesAfterTheBrokenEvent) {
  ListEndpointThatSends("engines", MakeUnframedHead("text/event-stream") + EventsText(1, 2) + "id");
  scripted_endpoint continues(loop, [](auto& c) {
    c.Send(MakeUnframedHead("text/event-stream") + EventsText(3, 4));
    c.Close();
  });
  ListEndpoint("e2", "engines", continues.address());
  gateway.endpoints.Find("e2")->own_load = {.requests = 3, .unread_tokens = 1000};
  const auto handler = Start("POST", "/short/1", "b");
  ASSERT_TRUE(RunUntil([&] { return response.done(); }));
  EXPECT_TRUE(response.ended);
  EXPECT_EQ(response.body, EventsText(1, 4));
}

// Guards against a crash before the first event that looks like an empty stream, which would also
// clear the crashes of its prompt parts.
TEST_F(unframed_response_test, StreamWithoutAnEventIsNotComplete) {
  ListEndpointThatSends("engines", MakeUnframedHead("text/event-stream"));
  const auto handler = Start("POST", "/report/1", "b");
  ASSERT_TRUE(RunUntil([&] { return response.done(); }));
  EXPECT_EQ(response.status, 502);
  EXPECT_EQ(gateway.quarantine.record_count(), 1U);
}

}  // namespace
}  // namespace tarragon::gateway
