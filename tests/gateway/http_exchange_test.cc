#include "tarragon/gateway/http_exchange.h"

#include <gtest/gtest.h>

#include <asio/io_context.hpp>
#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <thread>
#include <utility>

#include "gateway/request_handler_fixture.h"

namespace tarragon::gateway {
namespace {

constexpr std::chrono::milliseconds kPastConnectTimeout =
    connection_attempt::kConnectTimeout + std::chrono::milliseconds(50);

class recording_exchange_listener final : public exchange_listener {
 public:
  void OnResponseHead(http::message_head head) override { status = head.status; }
  void OnResponseBody(std::string_view bytes) override { body += bytes; }
  void OnResponseEnd() override { ended = true; }
  void OnExchangeError(exchange_error failure) override { error = failure; }

  int status = 0;
  std::string body;
  bool ended = false;
  std::optional<exchange_error> error;
};

class http_exchange_test : public request_handler_fixture {};

// Guards against a request that is sent and then reported as not sent: after a pause of the process
// the finished connect and its expired timer are handled together.
TEST_F(http_exchange_test, ConnectThatCompletedDuringAPauseDoesNotTimeOut) {
  scripted_endpoint endpoint(loop, [](auto& c) { c.Send(MakeResponse("200 OK", "fine")); });
  recording_exchange_listener listener;
  const auto exchange = std::make_shared<http_exchange>(loop, listener);
  exchange->Start(endpoint.address(), "GET / HTTP/1.1\r\nHost: h\r\n\r\n", false);
  std::this_thread::sleep_for(kPastConnectTimeout);
  ASSERT_TRUE(RunUntil([&] { return listener.ended || listener.error; }));
  EXPECT_FALSE(listener.error);
  EXPECT_EQ(listener.body, "fine");
  exchange->Cancel();
}

/** How an answer without a length begins, and the route whose request gets it. */
struct early_answer {
  std::string_view target;
  std::string_view service;
  std::string_view part;
};

class early_answer_test : public http_exchange_test,
                          public testing::WithParamInterface<early_answer> {
 protected:
  /** More than the buffers of a connection take, so that the upload cannot end. */
  static constexpr std::size_t kUploadBytes = std::size_t{32} << 20;

  static std::string Answer() {
    return fmt::format("HTTP/1.1 200 OK\r\nAttempt-Id: {}\r\nResponse-Signature: s\r\n\r\n{}",
                       kRequestId, GetParam().part);
  }

  void Upload(scripted_endpoint::script answer) {
    scripted_endpoint endpoint(loop, std::move(answer));
    ListEndpoint("e1", std::string(GetParam().service), endpoint.address());
    const auto handler =
        Start("POST", std::string(GetParam().target), std::string(kUploadBytes, 'b'));
    ASSERT_TRUE(RunUntil([&] { return response.done(); }));
  }
};

// Guards against part of a body that reaches the caller as a complete answer: the reset of the
// connection fails the write of the upload, after which the read sees an orderly end.
TEST_P(early_answer_test, ResetDuringAnUploadIsNotTheEndOfTheAnswer) {
  Upload([](auto& c) {
    c.Send(Answer());
    c.Reset();
  });
  EXPECT_FALSE(response.ended && response.status == 200);
  EXPECT_TRUE(response.aborted || response.status == 502) << response.status;
}

// Guards against the same where the endpoint was killed: its sockets are closed without a reset, if
// it has read all that had arrived.
TEST_P(early_answer_test, EndDuringAnUploadIsNotTheEndOfTheAnswer) {
  Upload([](auto& c) {
    c.Send(Answer());
    c.EndOutput();
  });
  EXPECT_FALSE(response.ended && response.status == 200);
  EXPECT_TRUE(response.aborted || response.status == 502) << response.status;
}

INSTANTIATE_TEST_SUITE_P(Kinds,
                         early_answer_test,
                         testing::Values(early_answer{"/unsafe/1", "calls", "half"},
                                         early_answer{"/safe/1", "calls", "half"},
                                         early_answer{"/report/1", "engines",
                                                      "id: 1\ndata: e1\n\n"}));

// Guards against an unsafe request that runs at two endpoints after a pause of the process.
TEST_F(http_exchange_test, UnsafeRequestRunsOnceAfterAPauseWhileConnecting) {
  int runs = 0;
  const auto serve = [&runs](auto& c) {
    ++runs;
    c.Send(MakeResponse("200 OK", "fine"));
  };
  scripted_endpoint first(loop, serve);
  scripted_endpoint second(loop, serve);
  ListEndpoint("e1", "calls", first.address());
  ListEndpoint("e2", "calls", second.address());
  const auto handler = Start("POST", "/unsafe/1", "b");
  std::this_thread::sleep_for(kPastConnectTimeout);
  ASSERT_TRUE(RunUntil([&] { return response.done(); }));
  RunFor(std::chrono::milliseconds(50), [] { return false; });
  EXPECT_EQ(response.status, 200);
  EXPECT_EQ(runs, 1);
}

}  // namespace
}  // namespace tarragon::gateway
