#include <gtest/gtest.h>

#include <chrono>
#include <memory>
#include <string>
#include <vector>

#include "gateway/request_handler_fixture.h"
#include "tarragon/gateway/load_relay.h"
#include "tarragon/gateway/path_monitor.h"
#include "tarragon/gateway/relay_node.h"
#include "tarragon/gateway/tunnel_server.h"

namespace tarragon::gateway {
namespace {

/** Addresses of endpoints at which nothing listens. */
constexpr const char* kClosedAddress = "127.0.0.1:1";

/** A daemon that reaches the endpoints, beside the one under test, which does not. */
class tunnel_test : public request_handler_fixture {
 protected:
  tunnel_test() {
    gateway.paths = &own_paths;
    other.paths = &other_paths;
    relay.SetTunnelListener([this](asio::ip::tcp::socket daemon, const tunnel_request& request) {
      server.Open(std::move(daemon), request);
    });
  }

  void SetUp() override {
    // Another process may take the port that was free.
    constexpr int kAttempts = 5;
    bool is_open = false;
    for (int i = 0; i < kAttempts && !is_open; ++i) {
      const auto port = asio::ip::tcp::acceptor(loop, {asio::ip::address_v4::loopback(), 0})
                            .local_endpoint()
                            .port();
      const std::string address = "127.0.0.1:" + std::to_string(port);
      is_open = relay.Open(address);
      own_paths.SetMembers({{address, "d"}}, {"127.0.0.1:2", "d"});
    }
    ASSERT_TRUE(is_open);
  }

  /** Lists endpoints whose addresses only the other daemon can use. */
  void ListEndpoints(const std::string& service, const std::string& address) {
    for (const char* id : {"e1", "e2", "e3"}) {
      ListEndpoint(id, service, kClosedAddress + std::string(id).substr(1));
      routing::endpoint_entry entry = gateway.endpoints.Find(id)->entry;
      entry.address = address;
      other.endpoints.Put(time.Now(), ++row_version, entry);
    }
  }

  gateway_state other{loop, time, adapter, log, counters};
  path_monitor own_paths{gateway};
  path_monitor other_paths{other};
  load_relay loads{other};
  relay_node relay{other, {}, loads, 1};
  tunnel_server server{other, other_paths};
};

// Guards against a daemon without a path to any endpoint that refuses what others could serve.
TEST_F(tunnel_test, UnsafeRequestRunsOnceThroughAnotherDaemon) {
  int runs = 0;
  scripted_endpoint endpoint(loop, [&](auto& connection) {
    ++runs;
    connection.Send(MakeResponse("200 OK", "fine"));
  });
  ListEndpoints("calls", endpoint.address());
  Start("POST", "/unsafe/x", "body");
  ASSERT_TRUE(RunUntil([&] { return response.done(); }));
  EXPECT_EQ(response.status, 200);
  EXPECT_EQ(response.body, "fine");
  EXPECT_EQ(runs, 1);
  EXPECT_TRUE(own_paths.IsCutOff(gateway.endpoints.Find("e1")->entry.address));
  EXPECT_TRUE(RunUntil([&] { return other.open_tunnels == 0; }));
}

// Guards against a response that a reset has cut short and that looks complete after the tunnel.
TEST_F(tunnel_test, ResetOfTheEndpointIsNotTakenForTheEndOfTheResponse) {
  scripted_endpoint endpoint(loop, [](auto& connection) {
    connection.Send("HTTP/1.1 200 OK\r\nAttempt-Id: " + std::string(kRequestId) +
                    "\r\nResponse-Signature: s\r\n\r\nhalf of the");
    connection.Reset();
  });
  ListEndpoints("calls", endpoint.address());
  Start("POST", "/unsafe/x", "body");
  ASSERT_TRUE(RunUntil([&] { return response.done(); }));
  EXPECT_EQ(response.status, 502);
}

// Guards against an endpoint that goes on working for a caller who has left.
TEST_F(tunnel_test, CallerThatLeavesClosesTheConnectionToTheEndpoint) {
  scripted_connection* accepted = nullptr;
  scripted_endpoint endpoint(loop, [&](auto& connection) { accepted = &connection; });
  ListEndpoints("calls", endpoint.address());
  const auto handler = Start("POST", "/unsafe/x", "body");
  ASSERT_TRUE(RunUntil([&] { return accepted != nullptr; }));
  handler->OnCallerGone();
  EXPECT_TRUE(RunUntil([&] { return accepted->closed_by_peer(); }));
}

// Guards against daemons without a path that ask each other in turns until the deadline.
TEST_F(tunnel_test, RequestIsRefusedAtOnceIfNoDaemonHasAPath) {
  ListEndpoints("calls", kClosedAddress);
  Start("POST", "/unsafe/x", "body");
  ASSERT_TRUE(RunFor(std::chrono::milliseconds(1000), [&] { return response.done(); }));
  EXPECT_EQ(response.status, 503);
}

// Guards against a stopping daemon that exits between its word that a tunnel is open and the bytes
// that follow: the request would count as one that may have run.
TEST_F(tunnel_test, TunnelCountsAsOpenFromItsRequestOn) {
  scripted_endpoint endpoint(loop, [](auto&) {});
  ListEndpoints("calls", endpoint.address());
  asio::ip::tcp::acceptor acceptor(loop, {asio::ip::address_v4::loopback(), 0});
  asio::ip::tcp::socket asking(loop);
  asking.connect(acceptor.local_endpoint());
  server.Open(acceptor.accept(), {.endpoint_id = "e1", .accepts_chunks = true});
  EXPECT_EQ(other.open_tunnels, 1U);
  ASSERT_TRUE(RunUntil([&] {
    EXPECT_EQ(other.open_tunnels, 1U);
    return !endpoint.connections.empty() && asking.available() > 0;
  }));
  asking.close();
  EXPECT_TRUE(RunUntil([&] { return other.open_tunnels == 0; }));
}

}  // namespace
}  // namespace tarragon::gateway
