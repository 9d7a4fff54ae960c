#include <fmt/format.h>
#include <gtest/gtest.h>

#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "gateway/request_handler_fixture.h"

namespace tarragon::gateway {
namespace {

/** A resumable stream that breaks off after two events, and what the next endpoint answers. */
class resumed_stream_test : public request_handler_fixture {
 protected:
  /** @param answer response of the second endpoint, which then closes its connection. */
  void Play(const std::string& answer) {
    first = std::make_unique<scripted_endpoint>(loop, [](auto& c) {
      c.Send(MakeStreamHead() + MakeEvent(1) + MakeEvent(2));
      c.Reset();
    });
    second = std::make_unique<scripted_endpoint>(loop, [answer](auto& c) {
      c.Send(answer);
      c.Close();
    });
    ListEndpoint("e1", "engines", first->address());
    ListEndpoint("e2", "engines", second->address());
    gateway.endpoints.Find("e2")->own_load = {.requests = 3, .unread_tokens = 1000};
    handler = Start("POST", "/short/1", "b");
    EXPECT_TRUE(RunUntil([&] { return response.done(); }));
    gateway.endpoints.Find("e2")->own_load = {};
  }

  /** Expects the two events, and an end that the caller sees as incomplete. */
  void ExpectBrokenOff() const {
    EXPECT_EQ(second->connections.size(), 1U);
    EXPECT_TRUE(response.aborted);
    EXPECT_FALSE(response.ended);
    EXPECT_EQ(response.body, EventsText(1, 2));
    EXPECT_EQ(response.streams_begun, 1);
  }

  std::unique_ptr<scripted_endpoint> first;
  std::unique_ptr<scripted_endpoint> second;
  std::shared_ptr<request_handler> handler;
};

constexpr std::string_view kErrorText = "{\"error\":\"broken\"}\n\n";

// Guards against an error's text in the middle of a stream (reported by operators of similar
// systems).
TEST_F(resumed_stream_test, ErrorStatusBreaksTheStreamOff) {
  Play(MakeResponse("500 Internal Server Error", kErrorText));
  ExpectBrokenOff();
}

// Guards against a stream that ends as complete because the next endpoint refused it.
TEST_F(resumed_stream_test, RefusalBreaksTheStreamOff) {
  Play(MakeResponse("503 Service Unavailable", kErrorText,
                    "Not-Executed: 1\r\nResponse-Signature: s\r\n"));
  ExpectBrokenOff();
}

// Guards against an error without a length, whose end looks like the end of a stream.
TEST_F(resumed_stream_test, UnframedErrorBreaksTheStreamOff) {
  Play(fmt::format("HTTP/1.1 502 Bad Gateway\r\nAttempt-Id: {}\r\n\r\n{}", kRequestId, kErrorText));
  ExpectBrokenOff();
}

// Guards against an error's text that comes with a success.
TEST_F(resumed_stream_test, TextThatIsNoEventBreaksTheStreamOff) {
  Play(MakeResponse("200 OK", kErrorText));
  ExpectBrokenOff();
}

// Guards against a whole head in the middle of a stream.
TEST_F(resumed_stream_test, HeadInsideTheStreamBreaksItOff) {
  Play(MakeStreamHead() + "40\r\nHTTP/1.1 500 Internal Server Error\r\nAttempt-Id: 1\r\n\r\n");
  ExpectBrokenOff();
}

// Guards against breaking off a sound stream that the next endpoint continues with a comment.
TEST_F(resumed_stream_test, SoundStreamGoesOn) {
  const std::string comment = ": still here\n\n";
  Play(MakeStreamHead() + fmt::format("{:x}\r\n{}\r\n", comment.size(), comment) + MakeEvent(2) +
       MakeEvent(3) + std::string(kLastChunk));
  EXPECT_TRUE(response.ended);
  EXPECT_EQ(response.body, EventsText(1, 2) + comment + EventsText(3, 3));
}

// Guards against a daemon that is out of step and takes a stream's version for gone.
TEST_F(resumed_stream_test, TakeUpWaitsForAVersionThatAnOldListLacks) {
  constexpr std::string_view kBroken = "fedcba9876543210";
  duration list_age = std::chrono::seconds(4);
  gateway.endpoint_list_age = [&] { return std::optional(list_age); };
  scripted_endpoint old_engine(loop, [](auto&) {});
  scripted_endpoint new_engine(
      loop, [](auto& c) { c.Send(MakeStreamHead() + MakeEvent(3) + std::string(kLastChunk)); });
  ListEndpoint("e1", "engines", old_engine.address());
  gateway.origins.Record({routing::MakeStreamKey("account", kBroken), {"engines", "v2"}},
                         time.Now() + std::chrono::seconds(10), /*for_store=*/false);
  const std::vector<http::header> take_up = {{"Last-Event-Id", "2"},
                                             {"Resumes", std::string(kBroken)}};
  handler = Start("POST", "/short/1", "b", take_up);
  EXPECT_FALSE(RunFor(std::chrono::milliseconds(50), [&] { return response.done(); }));
  routing::endpoint_entry entry = gateway.endpoints.Find("e1")->entry;
  entry.id = "e2";
  entry.address = new_engine.address();
  entry.software_version = "v2";
  gateway.endpoints.Put(time.Now(), ++row_version, entry);
  EXPECT_TRUE(RunUntil([&] { return response.done(); }));
  EXPECT_EQ(response.body, EventsText(3, 3));
  EXPECT_TRUE(old_engine.connections.empty());

  gateway.endpoints.Remove(time.Now(), ++row_version, "e2");
  list_age = duration::zero();
  response = {};
  handler = Start("POST", "/short/1", "b", take_up);
  EXPECT_EQ(response.status, 503);
}

}  // namespace
}  // namespace tarragon::gateway
