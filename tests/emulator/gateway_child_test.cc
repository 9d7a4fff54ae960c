#include "emulator/gateway_child.h"

#include <gtest/gtest.h>
#include <stdlib.h>

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <charconv>
#include <chrono>
#include <cstdint>
#include <filesystem>
#include <string>
#include <thread>

namespace tarragon::emulator {
namespace {

asio::ip::tcp::endpoint EndpointOf(const std::string& address) {
  std::uint16_t port = 0;
  std::from_chars(address.data() + address.rfind(':') + 1, address.data() + address.size(), port);
  return {asio::ip::address_v4::loopback(), port};
}

/** A gateway whose store cannot be reached; it listens all the same. */
class gateway_child_test : public testing::Test {
 protected:
  gateway_child_test() {
    folder = (std::filesystem::temp_directory_path() / "tarragon-child-XXXXXX").string();
    folder = ::mkdtemp(folder.data());
  }
  ~gateway_child_test() override {
    std::error_code ignored;
    std::filesystem::remove_all(folder, ignored);
  }

  bool Connects(const std::string& address) {
    asio::ip::tcp::socket socket(loop);
    asio::error_code error;
    socket.connect(EndpointOf(address), error);
    return !error;
  }

  std::string folder;
  asio::io_context loop;
};

// Guards against a gateway that cannot listen, and so never serves, because another process has
// taken its port between the search for a free port and the start.
TEST_F(gateway_child_test, KeepsItsPortUntilTheStart) {
  gateway_child gateway({"vm-0", "domain-0", "127.0.0.1:1", folder});
  asio::ip::tcp::acceptor other(loop, asio::ip::tcp::v4());
  asio::error_code taken;
  other.bind(EndpointOf(gateway.callers_address()), taken);
  EXPECT_EQ(taken, asio::error::address_in_use);
  gateway.Start();
  while (!gateway.HasExited() && !Connects(gateway.callers_address())) {
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
  }
  EXPECT_FALSE(gateway.HasExited());
}

}  // namespace
}  // namespace tarragon::emulator
