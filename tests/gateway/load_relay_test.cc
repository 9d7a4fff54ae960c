#include "tarragon/gateway/load_relay.h"

#include <fmt/format.h>
#include <gtest/gtest.h>

#include <asio/ip/tcp.hpp>
#include <memory>
#include <string>
#include <vector>

#include "gateway/gateway_fixture.h"
#include "tarragon/gateway/relay_node.h"

namespace tarragon::gateway {
namespace {

/** Another daemon on the same event loop. */
struct other_daemon {
  other_daemon(asio::io_context& loop,
               const clock& time,
               const platform_adapter& adapter,
               event_log& log)
      : state(loop, time, adapter, log, counters), loads(state), relay(state, {}, loads, 1) {}

  metrics counters;
  gateway_state state;
  load_relay loads;
  relay_node relay;
};

class load_relay_test : public gateway_fixture {
 protected:
  static std::string FreeAddress(asio::io_context& loop) {
    asio::ip::tcp::acceptor probe(loop, {asio::ip::address_v4::loopback(), 0});
    return fmt::format("127.0.0.1:{}", probe.local_endpoint().port());
  }

  std::unique_ptr<other_daemon> OpenDaemon(const std::string& address) {
    auto daemon = std::make_unique<other_daemon>(loop, time, adapter, log);
    routing::endpoint_entry entry;
    entry.id = "e1";
    entry.service = "engines";
    entry.address = "127.0.0.1:1";
    daemon->state.endpoints.Put(time.Now(), 1, entry);
    EXPECT_TRUE(daemon->relay.Open(address));
    daemon->loads.Start();
    return daemon;
  }

  static std::uint32_t PeerRequests(const gateway_state& state) {
    return state.endpoints.Find("e1")->peer_load.requests;
  }
};

// Guards against a failure domain that does not know the load of the others: loads travelled with
// the rows, and a daemon whose source had lost the store left it.
TEST_F(load_relay_test, LoadsReachTheDaemonAboveWithoutRows) {
  const std::string address = FreeAddress(loop);
  const auto parent = OpenDaemon(address);
  const auto child = OpenDaemon(FreeAddress(loop));
  child->loads.SetParents({address});
  child->state.endpoints.Find("e1")->own_load.requests = 3;
  parent->state.endpoints.Find("e1")->own_load.requests = 2;
  EXPECT_TRUE(RunUntil(
      [&] { return PeerRequests(parent->state) == 3 && PeerRequests(child->state) == 2; }));
}

// Guards against a daemon that tells nobody its loads after the daemon above it has ended, and
// against loads of the ended daemon that are kept.
TEST_F(load_relay_test, TheNextDaemonAboveReplacesOneThatEnds) {
  const std::string nearest_address = FreeAddress(loop);
  const std::string next_address = FreeAddress(loop);
  auto nearest = OpenDaemon(nearest_address);
  const auto next = OpenDaemon(next_address);
  const auto child = OpenDaemon(FreeAddress(loop));
  nearest->state.endpoints.Find("e1")->own_load.requests = 5;
  child->state.endpoints.Find("e1")->own_load.requests = 3;
  child->loads.SetParents({nearest_address, next_address});
  ASSERT_TRUE(RunUntil([&] { return PeerRequests(child->state) == 5; }));
  EXPECT_EQ(PeerRequests(next->state), 0U);
  nearest.reset();
  EXPECT_TRUE(RunUntil([&] { return PeerRequests(next->state) == 3; }));
  EXPECT_EQ(PeerRequests(child->state), 0U);
}

}  // namespace
}  // namespace tarragon::gateway
