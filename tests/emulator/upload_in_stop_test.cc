#include <gtest/gtest.h>

#include <array>
#include <asio/ip/tcp.hpp>
#include <asio/write.hpp>
#include <chrono>
#include <csignal>
#include <string>
#include <string_view>

#include "emulator/fleet_emulator.h"
#include "tarragon/gateway/socket_options.h"

namespace tarragon::emulator {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::string_view kFirstHalf = "12345";
constexpr std::string_view kSecondHalf = "67890";
constexpr milliseconds kExitTimeout{12000};

/** A caller that has sent half of its request when its gateway is stopped. */
class upload_in_stop_test : public testing::Test {
 protected:
  static fleet_options OneGateway() {
    fleet_options options;
    options.gateways = 1;
    return options;
  }

  void SendFirstHalf(std::string_view deadline_ms) {
    ASSERT_TRUE(fleet.WaitUntilServing());
    socket.connect(*gateway::ParseAddress(fleet.gateway(0).callers_address()));
    const std::string head =
        "POST /commit/1 HTTP/1.1\r\nHost: fleet.example\r\nAttempt-Id: 00000000000000aa\r\n"
        "Authorization: Token key\r\nContent-Length: 10\r\nDeadline-Ms: " +
        std::string(deadline_ms) + "\r\n\r\n";
    asio::write(socket, asio::buffer(head + std::string(kFirstHalf)));
    Read();
    fleet.RunFor(milliseconds(200));
  }

  void Read() {
    socket.async_read_some(asio::buffer(buffer),
                           [this](const asio::error_code& error, std::size_t size) {
                             received.append(buffer.data(), size);
                             has_ended = static_cast<bool>(error);
                             if (!error) {
                               Read();
                             }
                           });
  }

  fleet_emulator fleet{OneGateway()};
  asio::ip::tcp::socket socket{fleet.loop()};
  std::array<char, 4096> buffer{};
  std::string received;
  bool has_ended = false;
};

// Guards against a process that takes itself for idle and exits while a request is arriving.
TEST_F(upload_in_stop_test, RequestThatArrivesSlowlyIsServed) {
  ASSERT_NO_FATAL_FAILURE(SendFirstHalf("6000"));
  fleet.gateway(0).SendSignal(SIGTERM);
  fleet.RunFor(seconds(3));
  EXPECT_FALSE(fleet.gateway(0).HasExited());
  ASSERT_FALSE(has_ended);
  asio::write(socket, asio::buffer(kSecondHalf));
  ASSERT_TRUE(fleet.RunUntil([&] { return has_ended; }, kExitTimeout));
  EXPECT_TRUE(received.starts_with("HTTP/1.1 200 ")) << received;
  ASSERT_TRUE(fleet.RunUntil([&] { return fleet.gateway(0).HasExited(); }, seconds(1)));
  EXPECT_EQ(fleet.gateway(0).exit_status(), 0);
}

// Guards against a connection that ends without an answer because its request has not arrived whole
// when the process ends.
TEST_F(upload_in_stop_test, RequestThatIsNotCompleteAtTheExitIsRefused) {
  ASSERT_NO_FATAL_FAILURE(SendFirstHalf("20000"));
  fleet.gateway(0).SendSignal(SIGTERM);
  ASSERT_TRUE(fleet.RunUntil([&] { return has_ended; }, kExitTimeout));
  EXPECT_TRUE(received.starts_with("HTTP/1.1 503 ")) << received;
  EXPECT_NE(received.find("Retry-After: 0.050\r\n"), std::string::npos) << received;
  EXPECT_EQ(fleet.record().RunCount("00000000000000aa"), 0U);
  ASSERT_TRUE(fleet.RunUntil([&] { return fleet.gateway(0).HasExited(); }, seconds(1)));
  EXPECT_EQ(fleet.gateway(0).exit_status(), 0);
}

}  // namespace
}  // namespace tarragon::emulator
