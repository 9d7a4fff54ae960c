#include "tarragon/gateway/relay_connection.h"

#include <gtest/gtest.h>

#include <chrono>
#include <memory>
#include <thread>
#include <utility>

#include "gateway/gateway_fixture.h"

namespace tarragon::gateway {
namespace {

/** Sends a second message once the first one has been written. */
class sending_listener final : public relay_connection_listener {
 public:
  void OnRelayMessage(relay_connection&, relay_message) override { ++received; }
  void OnRelayWritten(relay_connection& connection) override {
    if (++written == 1) {
      connection.Send({});
    }
  }
  void OnRelayClosed(relay_connection&) override { closed = true; }

  int received = 0;
  int written = 0;
  bool closed = false;
};

class relay_connection_test : public gateway_fixture {};

// Guards against closing a sound connection after a pause of the process: the timeout of a finished
// write was taken for that of the next one.
TEST_F(relay_connection_test, TimeoutOfAFinishedWriteDoesNotEndTheNextOne) {
  constexpr std::chrono::milliseconds kPastWriteTimeout{3050};
  asio::ip::tcp::acceptor acceptor(loop,
                                   asio::ip::tcp::endpoint(asio::ip::address_v4::loopback(), 0));
  sending_listener sender;
  asio::ip::tcp::socket peer(loop);
  const auto connection = std::make_shared<relay_connection>(asio::ip::tcp::socket(loop), sender);
  bool accepted = false;
  acceptor.async_accept(peer, [&](const asio::error_code&) { accepted = true; });
  connection->Connect(acceptor.local_endpoint(), {});
  while (!connection->is_open()) {
    loop.restart();
    loop.run_one();
  }
  std::this_thread::sleep_for(kPastWriteTimeout);
  ASSERT_TRUE(RunUntil([&] { return (accepted && sender.written == 2) || sender.closed; }));
  EXPECT_FALSE(sender.closed);
  connection->Close();
}

}  // namespace
}  // namespace tarragon::gateway
