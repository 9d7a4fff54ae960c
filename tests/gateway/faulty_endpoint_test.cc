#include <fmt/format.h>
#include <gtest/gtest.h>

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "gateway/request_handler_fixture.h"

namespace tarragon::gateway {
namespace {

/** More than the gateway keeps of any response. */
constexpr std::size_t kEndless = std::size_t{24} << 20;
/** Bound on the body of one response, with what one read adds. */
constexpr std::size_t kMaxKept = (std::size_t{4} << 20) + 8192;

std::string MakeHead(std::string_view framing, std::string_view id = kRequestId) {
  return fmt::format("HTTP/1.1 200 OK\r\nAttempt-Id: {}\r\nResponse-Signature: s\r\n{}\r\n", id,
                     framing);
}

/** Endpoints that send bytes which are no complete answer. */
class faulty_endpoint_test : public request_handler_fixture {
 protected:
  /** Sends a request to an endpoint that sends `bytes` and leaves the connection open. */
  std::shared_ptr<request_handler> StartWithAnswer(const std::string& target,
                                                   const std::string& service,
                                                   std::string bytes) {
    endpoint = std::make_unique<scripted_endpoint>(
        loop, [bytes = std::move(bytes)](auto& c) { c.SendLater(bytes); });
    ListEndpoint("e1", service, endpoint->address());
    return Start("POST", target, "b");
  }

  /** Runs until the request has ended. @return the most bytes of responses kept meanwhile. */
  std::size_t RunAndMeasure() {
    std::size_t most = 0;
    EXPECT_TRUE(RunUntil([&] {
      most = std::max(most, gateway.buffered_response_bytes);
      return response.done();
    }));
    EXPECT_EQ(gateway.buffered_response_bytes, 0U);
    return most;
  }

  bool EndpointSeesClose() {
    return RunUntil([&] { return endpoint->connections.at(0)->closed_by_peer(); });
  }

  std::unique_ptr<scripted_endpoint> endpoint;
};

// Guards against memory that an endpoint fills with a head that never ends.
TEST_F(faulty_endpoint_test, EndlessHeadIsGivenUp) {
  for (const std::string& start :
       {std::string("HTTP/1.1 200 "), std::string("HTTP/1.1 200 OK\r\nX: "), std::string(),
        std::string("HTTP/1.1 200 OK\r\n")}) {
    response = {};
    const auto handler = StartWithAnswer("/unsafe/1", "calls", start + std::string(kEndless, 'x'));
    RunAndMeasure();
    EXPECT_EQ(response.status, 502) << start;
    gateway.endpoints.Remove(time.Now(), ++row_version, "e1");
  }
}

// Guards against memory that an endpoint fills with a body that never ends.
TEST_F(faulty_endpoint_test, EndlessBodyIsGivenUp) {
  const std::string body(kEndless, 'x');
  for (const std::string& answer :
       {MakeHead("") + body,
        MakeHead("Transfer-Encoding: chunked\r\n") + fmt::format("{:x}\r\n", kEndless) + body,
        MakeHead(fmt::format("Content-Length: {}\r\n", kEndless)) + body}) {
    response = {};
    const auto handler = StartWithAnswer("/unsafe/1", "calls", answer);
    EXPECT_LE(RunAndMeasure(), kMaxKept);
    EXPECT_EQ(response.status, 502);
    gateway.endpoints.Remove(time.Now(), ++row_version, "e1");
  }
}

// Guards against memory that is filled by an answer to another request, which is not passed on.
TEST_F(faulty_endpoint_test, EndlessAnswerToAnotherRequestIsNotKept) {
  const auto handler =
      StartWithAnswer("/unsafe/1", "calls", MakeHead("", "other") + std::string(kEndless, 'x'));
  EXPECT_EQ(RunAndMeasure(), 0U);
  EXPECT_GE(response.status, 500);
}

// Guards against memory that an engine fills with one event that never ends.
TEST_F(faulty_endpoint_test, EndlessEventBreaksTheStreamOff) {
  const auto handler =
      StartWithAnswer("/report/1", "engines",
                      MakeHead("Content-Type: text/event-stream\r\n") + EventsText(1, 1) +
                          "id: 2\ndata: " + std::string(kEndless, 'x'));
  RunAndMeasure();
  EXPECT_TRUE(response.aborted);
  EXPECT_EQ(response.body, EventsText(1, 1));
  EXPECT_TRUE(EndpointSeesClose());
}

/** How an answer says where its body ends, and the service that gives it. */
struct framing_case {
  std::string_view target;
  std::string_view service;
  std::string_view framing;
};

class cut_head_test : public faulty_endpoint_test,
                      public testing::WithParamInterface<framing_case> {};

// Guards against a success with an empty or short body because the endpoint closed its connection
// inside the head.
TEST_P(cut_head_test, HeadThatIsCutIsNoAnswer) {
  const framing_case& tested = GetParam();
  const std::string head = MakeHead(tested.framing);
  for (std::size_t sent = 1; sent < head.size(); ++sent) {
    response = {};
    scripted_endpoint cuts(loop, [&](auto& c) {
      c.Send(head.substr(0, sent));
      c.Close();
    });
    ListEndpoint("e1", std::string(tested.service), cuts.address());
    const auto handler = Start("POST", std::string(tested.target), "b");
    ASSERT_TRUE(RunUntil([&] { return response.done(); })) << sent;
    EXPECT_TRUE(response.aborted || response.status == 502) << sent << ": " << response.status;
    EXPECT_FALSE(response.headers.Find("Response-Signature").has_value()) << sent;
    gateway.endpoints.Remove(time.Now(), ++row_version, "e1");
  }
}

INSTANTIATE_TEST_SUITE_P(
    Framings,
    cut_head_test,
    testing::Values(framing_case{"/unsafe/1", "calls", ""},
                    framing_case{"/unsafe/1", "calls", "Content-Length: 0\r\n"},
                    framing_case{"/unsafe/1", "calls", "Transfer-Encoding: chunked\r\n"},
                    framing_case{"/report/1", "engines", "Content-Type: text/event-stream\r\n"},
                    framing_case{
                        "/report/1", "engines",
                        "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"}));

// Guards against a call that is taken late in the grace period of a planned stop and is cut when
// the process ends.
TEST_F(faulty_endpoint_test, CallTakenDuringAPlannedStopEndsBeforeTheProcess) {
  endpoint = std::make_unique<scripted_endpoint>(loop, [](auto&) {});
  ListEndpoint("e1", "calls", endpoint->address());
  gateway.draining = true;
  const std::chrono::milliseconds timeout{3000};
  const time_point first_exit = time.Now() + timeout + std::chrono::milliseconds(100);
  gateway.exit_at = first_exit;
  const std::vector<http::header> patient = {{"Deadline-Ms", "5000"}};
  const auto taken = Start("POST", "/unsafe/1", "b", patient);
  EXPECT_FALSE(response.done());
  recording_response_writer late;
  gateway.exit_at = time.Now() + timeout - std::chrono::milliseconds(1);
  const auto refused = Start("POST", "/unsafe/2", "b", patient, &late);
  EXPECT_EQ(late.status, 503);
  EXPECT_TRUE(late.headers.Find("Retry-After").has_value());
  ASSERT_TRUE(RunUntil([&] { return response.done(); }));
  EXPECT_EQ(response.status, 504);
  EXPECT_LT(time.Now(), first_exit);
  EXPECT_EQ(endpoint->connections.size(), 1U);
}

}  // namespace
}  // namespace tarragon::gateway
