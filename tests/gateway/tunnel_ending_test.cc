#include <fmt/format.h>
#include <gtest/gtest.h>

#include <array>
#include <asio/connect.hpp>
#include <asio/read.hpp>
#include <asio/read_until.hpp>
#include <asio/streambuf.hpp>
#include <asio/write.hpp>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "gateway/request_handler_fixture.h"
#include "tarragon/gateway/load_relay.h"
#include "tarragon/gateway/path_monitor.h"
#include "tarragon/gateway/relay_node.h"
#include "tarragon/gateway/tunnel_chunks.h"
#include "tarragon/gateway/tunnel_server.h"

namespace tarragon::gateway {
namespace {

std::string UnframedHead() {
  return fmt::format(
      "HTTP/1.1 200 OK\r\nAttempt-Id: {}\r\nResponse-Signature: s\r\n"
      "Content-Type: text/event-stream\r\n\r\n",
      kRequestId);
}

std::string Chunk(std::string_view payload) {
  const tunnel_chunk_header header = MakeTunnelChunkHeader(payload.size());
  return std::string(header.data(), header.size()).append(payload);
}

const std::string kLastTunnelChunk = Chunk("");

/** Another daemon that carries connections as its script says, and then closes them in order. */
class scripted_carrier final {
 public:
  /** @return the bytes after the request for a tunnel, the status first. */
  using script = std::function<std::string(const tunnel_request&)>;

  scripted_carrier(asio::io_context& loop, script answer)
      : acceptor_(loop, asio::ip::tcp::endpoint(asio::ip::address_v4::loopback(), 0)),
        answer_(std::move(answer)) {
    Accept();
  }

  std::string address() const {
    return fmt::format("127.0.0.1:{}", acceptor_.local_endpoint().port());
  }

 private:
  struct session {
    explicit session(asio::ip::tcp::socket accepted) : socket(std::move(accepted)) {}
    asio::ip::tcp::socket socket;
    std::array<char, 4096> buffer{};
    relay_frame_reader frames;
    std::string answer;
    std::string received;
  };

  void Accept() {
    acceptor_.async_accept([this](const asio::error_code& error, asio::ip::tcp::socket socket) {
      if (!error) {
        ReadFrame(std::make_shared<session>(std::move(socket)));
        Accept();
      }
    });
  }

  void ReadFrame(const std::shared_ptr<session>& open) {
    open->socket.async_read_some(
        asio::buffer(open->buffer), [this, open](const asio::error_code& error, std::size_t size) {
          std::vector<relay_message> messages;
          if (error || !open->frames.Feed({open->buffer.data(), size}, messages)) {
            return;
          }
          if (messages.empty()) {
            ReadFrame(open);
            return;
          }
          open->answer = answer_(std::get<tunnel_request>(messages.front()));
          asio::write(open->socket, asio::buffer(open->answer, 1));
          ReadRequest(open);
        });
  }

  /** Answers once the request has been read, as unread bytes would make the close a reset. */
  void ReadRequest(const std::shared_ptr<session>& open) {
    open->socket.async_read_some(asio::buffer(open->buffer),
                                 [this, open](const asio::error_code& error, std::size_t size) {
                                   if (error) {
                                     return;
                                   }
                                   open->received.append(open->buffer.data(), size);
                                   if (open->received.find("\r\n\r\nbody") == std::string::npos) {
                                     ReadRequest(open);
                                     return;
                                   }
                                   asio::write(open->socket, asio::buffer(open->answer) + 1);
                                   open->socket.close();
                                 });
  }

  asio::ip::tcp::acceptor acceptor_;
  script answer_;
};

/** A daemon without a path to any endpoint, and another one that carries its connections. */
class carried_response_test : public request_handler_fixture {
 protected:
  carried_response_test() { gateway.paths = &paths; }

  void Play(const std::string& target,
            const std::string& service,
            scripted_carrier::script answer) {
    carrier = std::make_unique<scripted_carrier>(loop, std::move(answer));
    paths.SetMembers({{carrier->address(), "d"}}, {"127.0.0.1:2", "d"});
    for (const char* id : {"e1", "e2", "e3"}) {
      ListEndpoint(id, service, "127.0.0.1:1" + std::string(id).substr(1));
    }
    handler = Start("POST", target, "body");
    ASSERT_TRUE(RunUntil([&] { return response.done(); }));
  }

  path_monitor paths{gateway};
  std::unique_ptr<scripted_carrier> carrier;
  std::shared_ptr<request_handler> handler;
};

// Guards against a stream that looks complete because the daemon that carried it was killed.
TEST_F(carried_response_test, StreamOfAKilledCarrierIsBrokenOff) {
  Play("/report/x", "engines", [](const tunnel_request& request) {
    EXPECT_TRUE(request.accepts_chunks);
    return "c" + Chunk(UnframedHead() + EventsText(1, 2));
  });
  EXPECT_TRUE(response.aborted);
  EXPECT_EQ(response.body, EventsText(1, 2));
}

// Guards against the same for a plain response.
TEST_F(carried_response_test, CallOfAKilledCarrierIsNotComplete) {
  Play("/unsafe/x", "calls",
       [](const tunnel_request&) { return "c" + Chunk(UnframedHead() + "half"); });
  EXPECT_EQ(response.status, 502);
}

// Guards against a carrier that is killed inside a chunk or its header.
TEST_F(carried_response_test, CutChunkIsNoEnd) {
  const std::string whole = Chunk(UnframedHead() + EventsText(1, 2)) + kLastTunnelChunk;
  Play("/report/x", "engines",
       [&](const tunnel_request&) { return "c" + whole.substr(0, whole.size() - 1); });
  EXPECT_TRUE(response.aborted);
}

// Guards against cutting off a stream whose end the carrier has stated.
TEST_F(carried_response_test, StatedEndCompletesTheResponse) {
  Play("/report/x", "engines", [](const tunnel_request&) {
    return "c" + Chunk(UnframedHead()) + Chunk(EventsText(1, 2)) + kLastTunnelChunk;
  });
  EXPECT_TRUE(response.ended);
  EXPECT_EQ(response.body, EventsText(1, 2));
}

// Guards against taking the end of a daemon of an earlier version, which states nothing, for the
// endpoint's.
TEST_F(carried_response_test, UnframedResponseOfAnEarlierCarrierIsBrokenOff) {
  Play("/report/x", "engines",
       [](const tunnel_request&) { return "o" + UnframedHead() + EventsText(1, 2); });
  EXPECT_TRUE(response.aborted);
}

// Guards against refusing what a daemon of an earlier version carries whole.
TEST_F(carried_response_test, FramedResponseOfAnEarlierCarrierIsServed) {
  Play("/unsafe/x", "calls",
       [](const tunnel_request&) { return "o" + MakeResponse("200 OK", "fine"); });
  EXPECT_EQ(response.status, 200);
  EXPECT_EQ(response.body, "fine");
}

/** A daemon that carries a connection for one of an earlier version. */
class earlier_daemon_test : public request_handler_fixture {
 protected:
  void SetUp() override {
    relay.SetTunnelListener([this](asio::ip::tcp::socket daemon, const tunnel_request& request) {
      server->Open(std::move(daemon), request);
    });
    const auto port = asio::ip::tcp::acceptor(loop, {asio::ip::address_v4::loopback(), 0})
                          .local_endpoint()
                          .port();
    ASSERT_TRUE(relay.Open(fmt::format("127.0.0.1:{}", port)));
    daemon.connect({asio::ip::address_v4::loopback(), port});
  }

  /** Sends a request through the tunnel and reads until the connection ends. */
  asio::error_code ReadToTheEnd(const std::function<void()>& on_first_bytes) {
    asio::write(daemon, asio::buffer(EncodeFrame(tunnel_request{"e1"})));
    std::optional<asio::error_code> end;
    std::function<void()> read = [&] {
      daemon.async_read_some(asio::buffer(buffer),
                             [&](const asio::error_code& error, std::size_t size) {
                               const bool had_body = received.size() > 1;
                               received.append(buffer.data(), size);
                               if (received == "o") {
                                 asio::write(daemon, asio::buffer(kRequest));
                               }
                               if (!had_body && received.size() > 1) {
                                 on_first_bytes();
                               }
                               if (error) {
                                 end = error;
                               } else {
                                 read();
                               }
                             });
    };
    read();
    EXPECT_TRUE(RunUntil([&] { return end.has_value(); }));
    return end.value_or(asio::error_code());
  }

  static constexpr std::string_view kRequest = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";

  path_monitor paths{gateway};
  load_relay loads{gateway};
  relay_node relay{gateway, {}, loads, 1};
  std::unique_ptr<tunnel_server> server = std::make_unique<tunnel_server>(gateway, paths);
  asio::ip::tcp::socket daemon{loop};
  std::array<char, 4096> buffer{};
  std::string received;
};

// Guards against a daemon of an earlier version that takes the end of this process for the end of a
// response.
TEST_F(earlier_daemon_test, SeesAResetWhenTheCarrierEnds) {
  scripted_endpoint endpoint(loop, [](auto& c) { c.Send(UnframedHead() + "half"); });
  ListEndpoint("e1", "calls", endpoint.address());
  EXPECT_EQ(ReadToTheEnd([this] { server.reset(); }), asio::error::connection_reset);
}

// Guards against cutting a response off that the endpoint has ended.
TEST_F(earlier_daemon_test, SeesTheOrderlyEndOfAResponse) {
  scripted_endpoint endpoint(loop, [](auto& c) {
    c.Send(UnframedHead() + "whole");
    c.Close();
  });
  ListEndpoint("e1", "calls", endpoint.address());
  EXPECT_EQ(ReadToTheEnd([] {}), asio::error::eof);
  EXPECT_EQ(received, "o" + UnframedHead() + "whole");
}

}  // namespace
}  // namespace tarragon::gateway
