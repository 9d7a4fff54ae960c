#include "tarragon/gateway/endpoint_statements.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <chrono>
#include <memory>
#include <string>
#include <vector>

#include "gateway/request_handler_fixture.h"

namespace tarragon::gateway {
namespace {

class endpoint_statements_test : public request_handler_fixture {
 protected:
  static scripted_endpoint::script Answer(const std::string& status, const std::string& headers) {
    return [=](scripted_connection& connection) {
      connection.Send(MakeResponse(status, "fine", "Response-Signature: s\r\n" + headers));
    };
  }

  /** Plays one call to the end. */
  recording_response_writer Call() {
    recording_response_writer answer;
    const auto handler = Start("POST", "/unsafe/1", "b", {}, &answer);
    EXPECT_TRUE(RunUntil([&] { return answer.done(); }));
    return answer;
  }

  bool Leaves(const char* id) const { return gateway.endpoints.Find(id)->leaving; }
  bool Pauses(const char* id) const {
    return gateway.endpoints.Find(id)->pause.IsPaused(time.Now());
  }
};

// Guards against overlooking the statement in one kind of answer.
TEST_F(endpoint_statements_test, EachKindOfAnswerSaysThatItsEndpointLeaves) {
  for (const char* status :
       {"200 OK", "404 Not Found", "500 Internal Server Error", "503 Service Unavailable"}) {
    scripted_endpoint endpoint(loop, Answer(status, "Server-Leaving: 1\r\n"));
    ListEndpoint("e1", "calls", endpoint.address());
    Call();
    EXPECT_TRUE(Leaves("e1")) << status;
  }
  scripted_endpoint engine(loop, [](auto& c) {
    c.Send(
        "HTTP/1.1 200 OK\r\nAttempt-Id: 0123456789abcdef\r\nResponse-Signature: s\r\n"
        "Server-Leaving: 1\r\nTransfer-Encoding: chunked\r\n\r\n" +
        MakeEvent(1));
  });
  ListEndpoint("e2", "engines", engine.address());
  const auto handler = Start("POST", "/report/1", "b");
  EXPECT_TRUE(RunUntil([&] { return Leaves("e2"); }));
  handler->OnCallerGone();
}

// Guards against endpoints that fail because they have to turn away what they have no room for.
TEST_F(endpoint_statements_test, BrittleEndpointGetsNoRequestBeyondItsCapacity) {
  constexpr std::size_t kSlots = 6;
  std::size_t runs = 0;
  scripted_endpoint endpoint(loop, [&](scripted_connection& connection) {
    if (++runs == 1) {
      connection.Send(
          MakeResponse("200 OK", "fine", "Response-Signature: s\r\nServer-Brittle: 5\r\n"));
    }
  });
  ListEndpoint("e1", "calls", endpoint.address());
  Call();
  EXPECT_TRUE(gateway.endpoints.Find("e1")->is_brittle);
  std::vector<std::shared_ptr<request_handler>> open;
  std::vector<recording_response_writer> answers(kSlots + 3);
  std::ranges::for_each(
      answers, [&](auto& answer) { open.push_back(Start("POST", "/unsafe/1", "b", {}, &answer)); });
  EXPECT_TRUE(RunUntil([&] { return runs == 1 + kSlots; }));
  EXPECT_FALSE(RunFor(std::chrono::milliseconds(200), [&] { return runs > 1 + kSlots; }));
  std::ranges::for_each(open, [](const auto& handler) { handler->OnCallerGone(); });
}

// Guards against taking an endpoint out of use because of a value that means nothing.
TEST_F(endpoint_statements_test, OtherValuesDoNotCount) {
  scripted_endpoint endpoint(loop, Answer("200 OK", "Server-Leaving: 0\r\nRetry-After: 9\r\n"));
  ListEndpoint("e1", "calls", endpoint.address());
  Call();
  EXPECT_FALSE(Leaves("e1"));
  EXPECT_FALSE(Pauses("e1"));
}

// Guards against blaming the incarnation that was meant for what its successor says.
TEST_F(endpoint_statements_test, MisdirectedAnswerSpeaksForAnotherIncarnation) {
  scripted_endpoint endpoint(
      loop, Answer("421 Misdirected Request", "Server-Leaving: 1\r\nNot-Executed: 1\r\n"));
  ListEndpoint("old", "calls", endpoint.address());
  Call();
  EXPECT_FALSE(Leaves("old"));
  ListEndpoint("new", "other", endpoint.address());
  Call();
  EXPECT_TRUE(Leaves("new"));
}

// Guards against further requests to an endpoint that has asked for a pause.
TEST_F(endpoint_statements_test, PausedEndpointGetsNoRequest) {
  scripted_endpoint paused(
      loop, Answer("503 Service Unavailable", "Not-Executed: 1\r\nRetry-After: 1.5\r\n"));
  scripted_endpoint other(loop, Answer("200 OK", ""));
  ListEndpoint("e1", "calls", paused.address());
  ListEndpoint("e2", "calls", other.address());
  gateway.endpoints.Find("e2")->own_load = {.requests = 4};
  for (int i = 0; i < 5; ++i) {
    EXPECT_EQ(Call().status, 200);
  }
  EXPECT_EQ(paused.connections.size(), 1U);
  gateway.endpoints.Find("e2")->own_load = {};
}

// Guards against callers that wait for endpoints of which none will serve them in time.
TEST_F(endpoint_statements_test, RefusesAtOnceWhileAllPause) {
  scripted_endpoint paused(
      loop, Answer("503 Service Unavailable", "Not-Executed: 1\r\nRetry-After: 0.9\r\n"));
  ListEndpoint("e1", "calls", paused.address());
  Call();
  const time_point start = time.Now();
  const recording_response_writer refused = Call();
  EXPECT_LT(time.Now() - start, std::chrono::milliseconds(50));
  EXPECT_EQ(refused.status, 503);
  ASSERT_TRUE(refused.headers.Find("Retry-After"));
  EXPECT_GT(std::stod(std::string(*refused.headers.Find("Retry-After"))), 0.3);
  EXPECT_EQ(paused.connections.size(), 1U);
}

// Guards against a refusal where a short wait is enough.
TEST_F(endpoint_statements_test, WaitsForAShortPause) {
  scripted_endpoint endpoint(loop, Answer("200 OK", ""));
  ListEndpoint("e1", "calls", endpoint.address());
  for (int i = 0; i < 5; ++i) {
    gateway.endpoints.Find("e1")->pause.Record(time.Now(), std::chrono::milliseconds(30));
    EXPECT_EQ(Call().status, 200);
  }
}

// Guards against a generation that is lost with an engine which only says that it leaves.
TEST_F(endpoint_statements_test, GenerationIsCopiedAwayFromAnEngineThatSaysItLeaves) {
  scripted_endpoint engine(loop, [](scripted_connection& connection) {
    if (connection.received().starts_with("POST /tarragondyke/kv-move")) {
      ServeStreamsAndCopies(connection);
      return;
    }
    connection.Send(
        "HTTP/1.1 200 OK\r\nAttempt-Id: 0123456789abcdef\r\nResponse-Signature: s\r\n"
        "Server-Leaving: 1\r\nTransfer-Encoding: chunked\r\n\r\n" +
        MakeEvent(1));
  });
  scripted_endpoint other(loop, ServeStreamsAndCopies);
  ListEndpoint("e1", "engines", engine.address());
  ListEndpoint("e2", "engines", other.address());
  // Too full for a backup, but not for a generation.
  gateway.endpoints.Find("e2")->peer_load = {.requests = 3, .tokens = 22000};
  const auto handler = Start("POST", "/report/1", "b", LongGeneration());
  const auto is_copied = [&] {
    return std::ranges::any_of(engine.connections, [](const auto& connection) {
      return connection->received().starts_with("POST /tarragondyke/kv-move");
    });
  };
  EXPECT_TRUE(RunUntil(is_copied));
  handler->OnCallerGone();
}

}  // namespace
}  // namespace tarragon::gateway
