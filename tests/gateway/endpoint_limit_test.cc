#include <fmt/format.h>
#include <gtest/gtest.h>

#include <chrono>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "gateway/request_handler_fixture.h"

namespace tarragon::gateway {
namespace {

class endpoint_limit_test : public request_handler_fixture {
 protected:
  static scripted_endpoint::script AnswerWithLimit(const std::string& limit) {
    return [limit](scripted_connection& connection) {
      connection.Send(MakeResponse("200 OK", "fine",
                                   "Response-Signature: s\r\nServer-Limit: " + limit + "\r\n"));
    };
  }

  void Read() {
    recording_response_writer answer;
    const auto handler = Start("GET", "/safe/1", {}, {}, &answer);
    ASSERT_TRUE(RunUntil([&] { return answer.done(); }));
    statuses.push_back(answer.status);
  }

  std::vector<int> statuses;
};

// Guards against sending an endpoint in need as many requests as one that is well.
TEST_F(endpoint_limit_test, EndpointGetsNoMoreThanTheRateItNames) {
  scripted_endpoint limited(loop, AnswerWithLimit("0.5"));
  scripted_endpoint other(loop, [](auto& c) { c.Send(MakeResponse("200 OK", "fine")); });
  ListEndpoint("e1", "calls", limited.address());
  ListEndpoint("e2", "calls", other.address());
  for (int i = 0; i < 60; ++i) {
    Read();
  }
  // One and a half times 0.5 a second for 4 s, and 5 more.
  EXPECT_LE(limited.connections.size(), 8U);
  EXPECT_EQ(statuses, std::vector<int>(60, 200));
}

/** A stream with a backup at an engine that has reached its limit. */
class limited_backup_test : public request_handler_fixture {
 protected:
  limited_backup_test()
      : primary(loop, [](auto& c) { c.Send(MakeStreamHead() + MakeEvent(1)); }),
        backup(loop,
               [](auto& c) { c.Send(MakeStreamHead() + MakeEvent(2) + std::string(kLastChunk)); }) {
    ListEndpoint("e1", "engines", primary.address());
    ListEndpoint("e2", "engines", backup.address());
    gateway.endpoints.Find("e2")->own_load = {.requests = 3, .unread_tokens = 1000};
  }

  /** @param room_after time until the backup's engine takes another request. */
  void LoseEngine(std::chrono::milliseconds room_after, std::string target = "/report/1") {
    handler = Start("POST", std::move(target), "b", LongGeneration());
    ASSERT_TRUE(RunUntil([&] { return response.body == EventsText(1, 1); }));
    constexpr double kPerSecond = 5;
    constexpr std::chrono::seconds kWindow{4};
    routing::rate_limit& limit = gateway.endpoints.Find("e2")->limit;
    limit.RecordAnswer(kPerSecond);
    const time_point sent = time.Now() - kWindow + room_after;
    while (limit.Room(sent, routing::limit_use::kBegunStream) >= 1) {
      limit.RecordSend(sent);
    }
    primary.connections.at(0)->Reset();
  }

  scripted_endpoint primary;
  scripted_endpoint backup;
  std::shared_ptr<request_handler> handler;
};

// Guards against streams that lose their engine and move to an engine far beyond its limit.
TEST_F(limited_backup_test, LostStreamWaitsForRoom) {
  LoseEngine(std::chrono::milliseconds(300));
  EXPECT_FALSE(RunFor(std::chrono::milliseconds(200), [&] { return !backup.connections.empty(); }));
  ASSERT_TRUE(RunUntil([&] { return response.done(); }));
  EXPECT_TRUE(response.ended);
  EXPECT_EQ(response.body, EventsText(1, 2));
}

// Guards against a stream that waits for room after its caller has given up.
TEST_F(limited_backup_test, LostStreamIsAbortedWithoutRoom) {
  LoseEngine(std::chrono::seconds(3));
  ASSERT_TRUE(RunUntil([&] { return response.done(); }));
  EXPECT_TRUE(response.aborted);
  EXPECT_TRUE(backup.connections.empty());
}

// Guards against losing a resumable stream because the engine with its copy ends while it waits.
TEST_F(limited_backup_test, ResumableStreamOutlivesTheEngineWithItsCopy) {
  LoseEngine(std::chrono::seconds(3), "/short/1");
  EXPECT_FALSE(RunFor(std::chrono::milliseconds(100), [&] { return response.done(); }));
  ListEndpoint("e2", "engines", backup.address(), /*leaving=*/true);
  scripted_endpoint other(
      loop, [](auto& c) { c.Send(MakeStreamHead() + MakeEvent(2) + std::string(kLastChunk)); });
  ListEndpoint("e3", "engines", other.address());
  ASSERT_TRUE(RunUntil([&] { return response.done(); }));
  EXPECT_TRUE(response.ended);
  EXPECT_EQ(response.body, EventsText(1, 2));
}

}  // namespace
}  // namespace tarragon::gateway
