#include "tarragon/gateway/caller_connection.h"

#include <fmt/format.h>
#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <array>
#include <asio/ip/tcp.hpp>
#include <asio/write.hpp>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "gateway/gateway_fixture.h"

namespace tarragon::gateway {
namespace {

using testing::AllOf;
using testing::HasSubstr;

/** Caller on a plain socket. */
class raw_caller final {
 public:
  raw_caller(asio::io_context& loop, const asio::ip::tcp::endpoint& target) : socket_(loop) {
    socket_.connect(target);
    Read();
  }

  void Send(std::string_view text) { asio::write(socket_, asio::buffer(text)); }
  void Disconnect() { socket_.close(); }
  const std::string& received() const { return *received_; }
  bool ended() const { return *ended_; }

 private:
  void Read() {
    auto buffer = std::make_shared<std::array<char, 4096>>();
    socket_.async_read_some(asio::buffer(*buffer),
                            [this, buffer, received = received_, ended = ended_](
                                const asio::error_code& error, std::size_t size) {
                              if (error) {
                                *ended = true;
                                return;
                              }
                              received->append(buffer->data(), size);
                              Read();
                            });
  }

  asio::ip::tcp::socket socket_;
  std::shared_ptr<std::string> received_ = std::make_shared<std::string>();
  std::shared_ptr<bool> ended_ = std::make_shared<bool>(false);
};

std::string Request(std::string_view method, std::string_view path, std::string_view rest) {
  return fmt::format(
      "{} {} HTTP/1.1\r\nHost: h\r\nAttempt-Id: 1\r\nAuthorization: Token key\r\nDeadline-Ms: "
      "2000\r\n{}",
      method, path, rest);
}

constexpr std::string_view kOkResponse =
    "HTTP/1.1 200 OK\r\nAttempt-Id: 1\r\nResponse-Signature: s\r\nContent-Length: 4\r\n\r\nfine";

class caller_connection_test : public gateway_fixture {
 protected:
  caller_connection_test() { Accept(); }

  void Accept() {
    acceptor.async_accept([this](const asio::error_code& error, asio::ip::tcp::socket socket) {
      if (!error) {
        std::make_shared<caller_connection>(gateway, std::move(socket))->Start();
        Accept();
      }
    });
  }
  raw_caller Connect() { return {loop, acceptor.local_endpoint()}; }

  asio::ip::tcp::acceptor acceptor{loop,
                                   asio::ip::tcp::endpoint(asio::ip::address_v4::loopback(), 0)};
};

// Guards against responses on one connection that arrive out of order or mixed.
TEST_F(caller_connection_test, ServesPipelinedRequestsInOrder) {
  scripted_endpoint endpoint(loop, [](auto& c) { c.Send(kOkResponse); });
  ListEndpoint("e1", "calls", endpoint.address());
  raw_caller caller = Connect();
  caller.Send(Request("GET", "/safe/1", "\r\n") + Request("GET", "/none", "\r\n"));
  ASSERT_TRUE(RunUntil([&] { return caller.received().find("no_route") != std::string::npos; }));
  EXPECT_LT(caller.received().find("fine"), caller.received().find("404"));
  EXPECT_FALSE(caller.ended());
}

// Guards against forwarding a decoded chunked body without a valid Content-Length.
TEST_F(caller_connection_test, ChunkedBodyIsForwardedWithContentLength) {
  scripted_endpoint endpoint(loop, [](auto& c) { c.Send(kOkResponse); });
  ListEndpoint("e1", "calls", endpoint.address());
  raw_caller caller = Connect();
  caller.Send(Request("POST", "/unsafe/1",
                      "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"));
  ASSERT_TRUE(RunUntil([&] { return caller.received().find("fine") != std::string::npos; }));
  EXPECT_THAT(endpoint.connections.at(0)->received(),
              AllOf(HasSubstr("Content-Length: 5\r\n"), HasSubstr("\r\n\r\nabcde")));
}

// Guards against incomplete requests blocking complete ones: in the entry, which used one thread
// per connection, 2,000 incomplete requests delayed a lookup by 6 s.
TEST_F(caller_connection_test, IncompleteRequestsDoNotBlockOthers) {
  constexpr int kHalfSent = 400;
  scripted_endpoint endpoint(loop, [](auto& c) { c.Send(kOkResponse); });
  ListEndpoint("e1", "calls", endpoint.address());
  std::vector<std::unique_ptr<raw_caller>> slow;
  for (int i = 0; i < kHalfSent; ++i) {
    slow.push_back(std::make_unique<raw_caller>(loop, acceptor.local_endpoint()));
    slow.back()->Send(Request("POST", "/unsafe/1", "Content-Length: 100\r\n\r\nhalf"));
    loop.restart();
    loop.poll();
  }
  raw_caller caller = Connect();
  caller.Send(Request("GET", "/safe/1", "\r\n"));
  EXPECT_TRUE(RunUntil([&] { return caller.received().find("fine") != std::string::npos; }));
  EXPECT_EQ(endpoint.connections.size(), 1U);
}

// Guards against reading further requests after bytes that are not HTTP, such as a TLS handshake:
// where the next request starts is then unknown.
TEST_F(caller_connection_test, InvalidRequestClosesTheConnection) {
  raw_caller caller = Connect();
  caller.Send("\x16\x03\x01 hello\r\n\r\n");
  ASSERT_TRUE(RunUntil([&] { return caller.ended(); }));
  EXPECT_THAT(caller.received(), HasSubstr("HTTP/1.1 400"));
}

// Guards against an answer that goes to the next caller of the gateway: a request that offered an
// upgrade got 400 and ran, and its handler outlived its connection.
TEST_F(caller_connection_test, RequestThatOffersAnUpgradeGetsItsOwnAnswer) {
  scripted_endpoint endpoint(loop, [](auto& c) { c.Send(kOkResponse); });
  ListEndpoint("e1", "calls", endpoint.address());
  raw_caller caller = Connect();
  caller.Send(Request("POST", "/unsafe/1",
                      "Connection: Upgrade, HTTP2-Settings\r\nUpgrade: h2c\r\n"
                      "HTTP2-Settings: AAMAAABkAAQAoAAAAAIAAAAA\r\nContent-Length: 2\r\n\r\nab"));
  ASSERT_TRUE(RunUntil([&] { return caller.received().find("fine") != std::string::npos; }));
  EXPECT_THAT(caller.received(), testing::StartsWith("HTTP/1.1 200"));
  EXPECT_FALSE(caller.ended());
  EXPECT_EQ(endpoint.connections.at(0)->received().find("Upgrade"), std::string::npos);
}

// Guards against a connection that is destroyed with its open request because reading has paused.
TEST_F(caller_connection_test, ManyPipelinedRequestsAreAllAnswered) {
  constexpr int kRequests = 600;
  scripted_endpoint endpoint(loop, [](auto& c) { c.Send(kOkResponse); });
  ListEndpoint("e1", "calls", endpoint.address());
  raw_caller caller = Connect();
  std::string requests;
  for (int i = 0; i < kRequests; ++i) {
    requests += Request("GET", "/safe/1", "X-Filler: " + std::string(100, 'f') + "\r\n\r\n");
  }
  caller.Send(requests);
  const auto answers = [&] {
    int count = 0;
    for (auto at = caller.received().find("fine"); at != std::string::npos;
         at = caller.received().find("fine", at + 1)) {
      ++count;
    }
    return count;
  };
  EXPECT_TRUE(RunUntil([&] { return answers() == kRequests || caller.ended(); }));
  EXPECT_EQ(answers(), kRequests);
}

// Guards against ending the process: a caller that does not read large pipelined answers was found
// gone while its last answer was written, and its request ended twice.
TEST_F(caller_connection_test, CallerThatDoesNotReadEndsNoProcess) {
  constexpr int kRequests = 6;
  const std::string body(std::size_t{3} << 20, 'b');
  const std::string large = fmt::format(
      "HTTP/1.1 200 OK\r\nAttempt-Id: 1\r\nResponse-Signature: s\r\nContent-Length: {}\r\n\r\n",
      body.size());
  std::vector<std::shared_ptr<std::string>> answers;
  scripted_endpoint endpoint(loop, [&](auto& c) { c.SendLater(large + body); });
  ListEndpoint("e1", "calls", endpoint.address());
  asio::ip::tcp::socket caller(loop);
  caller.open(asio::ip::tcp::v4());
  caller.set_option(asio::socket_base::receive_buffer_size(4096));
  caller.connect(acceptor.local_endpoint());
  std::string requests;
  for (int i = 0; i < kRequests; ++i) {
    requests += Request("GET", "/safe/1", "\r\n");
  }
  asio::write(caller, asio::buffer(requests));
  EXPECT_TRUE(RunUntil([&] { return endpoint.connections.size() >= 4; }));
  EXPECT_TRUE(RunUntil([&] { return gateway.open_requests.empty(); }));
  EXPECT_EQ(gateway.unsent_connections, 0U);
}

// Guards against a body in the answer to HEAD, which the caller reads as the beginning of the next
// answer: own refusals, calls, relayed errors and streams.
TEST_F(caller_connection_test, AnswersToHeadHaveNoBody) {
  scripted_endpoint endpoint(loop, [](auto& c) {
    const bool fails = c.received().starts_with("HEAD /safe/error");
    c.Send(fails ? "HTTP/1.1 404 Not Found\r\nAttempt-Id: 1\r\nContent-Length: 9\r\n\r\n"
                 : "HTTP/1.1 200 OK\r\nAttempt-Id: 1\r\nResponse-Signature: s\r\n"
                   "Content-Length: 4\r\n\r\n");
  });
  ListEndpoint("e1", "calls", endpoint.address());
  ListEndpoint("e2", "engines", endpoint.address());
  for (const char* path : {"/none", "/safe/1", "/safe/error", "/report/1"}) {
    raw_caller caller = Connect();
    caller.Send(Request("HEAD", path, "\r\n") + Request("GET", "/none", "\r\n"));
    ASSERT_TRUE(RunUntil([&] { return caller.received().ends_with("}"); })) << path;
    const std::size_t first_end = caller.received().find("\r\n\r\n") + 4;
    EXPECT_EQ(caller.received().substr(first_end, 12), "HTTP/1.1 404") << path;
  }
}

// Guards against callers that keep using a connection to a process that is about to exit.
TEST_F(caller_connection_test, DrainingGatewayClosesAfterTheResponse) {
  scripted_endpoint endpoint(loop, [](auto& c) { c.Send(kOkResponse); });
  ListEndpoint("e1", "calls", endpoint.address());
  raw_caller caller = Connect();
  gateway.draining = true;
  gateway.exit_at = time.Now() + std::chrono::seconds(60);
  caller.Send(Request("GET", "/safe/1", "\r\n"));
  ASSERT_TRUE(RunUntil([&] { return caller.ended(); }));
  EXPECT_THAT(caller.received(), AllOf(HasSubstr("Connection: close\r\n"), HasSubstr("fine")));
}

// Guards against endpoint work that continues after the caller has disconnected.
TEST_F(caller_connection_test, CallerDisconnectCancelsTheWork) {
  scripted_endpoint endpoint(loop, [](auto&) {});
  ListEndpoint("e1", "calls", endpoint.address());
  raw_caller caller = Connect();
  caller.Send(Request("POST", "/unsafe/1", "Content-Length: 0\r\n\r\n"));
  ASSERT_TRUE(RunUntil([&] { return endpoint.connections.size() == 1; }));
  caller.Disconnect();
  EXPECT_TRUE(RunUntil([&] { return endpoint.connections[0]->closed_by_peer(); }));
  EXPECT_TRUE(gateway.open_requests.empty());
}

// Guards against a second copy of a response, sent late by an endpoint, that the next request on
// the caller's connection gets (reported by operators of similar systems).
TEST_F(caller_connection_test, SecondCopyOfAResponseReachesNobody) {
  int requests = 0;
  scripted_endpoint endpoint(loop, [&requests](auto& c) {
    const std::string own = fmt::format(
        "HTTP/1.1 200 OK\r\nAttempt-Id: 1\r\nResponse-Signature: s\r\n"
        "Content-Length: 5\r\n\r\nown-{}",
        ++requests);
    c.Send(own + own);
  });
  ListEndpoint("e1", "calls", endpoint.address());
  raw_caller caller = Connect();
  for (int request = 1; request <= 3; ++request) {
    caller.Send(Request("GET", "/safe/1", "\r\n"));
    ASSERT_TRUE(RunUntil([&] {
      return caller.received().find(fmt::format("own-{}", request)) != std::string::npos;
    }));
  }
  RunFor(std::chrono::milliseconds(50), [] { return false; });
  for (int request = 1; request <= 3; ++request) {
    const std::string text = fmt::format("own-{}", request);
    EXPECT_EQ(caller.received().find(text), caller.received().rfind(text));
  }
}

// Guards against a caller that sends a byte of its body now and then and holds its connection for
// ever.
TEST_F(caller_connection_test, StalledBodyEnds) {
  routing::service_config_parts parts;
  parts.version = 2;
  parts.limits.header_timeout = std::chrono::milliseconds(100);
  parts.limits.idle_timeout = std::chrono::milliseconds(300);
  gateway.config = routing::service_config::Make(std::move(parts));
  raw_caller caller = Connect();
  caller.Send(Request("POST", "/unsafe/1", "Content-Length: 100000\r\n\r\n"));
  EXPECT_TRUE(RunFor(std::chrono::milliseconds(3000), [&] {
    if (!caller.ended()) {
      caller.Send("x");
    }
    return caller.ended();
  }));
  EXPECT_THAT(caller.received(), HasSubstr("408"));
}

}  // namespace
}  // namespace tarragon::gateway
