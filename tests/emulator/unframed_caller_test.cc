#include <gtest/gtest.h>

#include <array>
#include <asio/buffer.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/write.hpp>
#include <chrono>
#include <functional>
#include <optional>
#include <string>

#include "emulator/fleet_emulator.h"
#include "tarragon/gateway/socket_options.h"

namespace tarragon::emulator {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kTimeout{10000};

/** A caller of HTTP/1.0, whose streams have neither a length nor chunks. */
class unframed_caller_test : public testing::Test {
 protected:
  static fleet_options Options() {
    fleet_options options;
    options.gateways = 1;
    options.event_interval = milliseconds(20);
    return options;
  }

  void SetUp() override {
    ASSERT_TRUE(fleet.WaitUntilServing());
    request = fleet.MakeRequest(call_kind::kReport, kEvents);
    std::string text = request->RequestText();
    const std::string version = "HTTP/1.1";
    text.replace(text.find(version), version.size(), "HTTP/1.0");
    socket.connect(*gateway::ParseAddress(fleet.gateway(0).callers_address()));
    asio::write(socket, asio::buffer(text));
    Read();
    ASSERT_TRUE(
        fleet.RunUntil([&] { return received.find("id: 5\n") != std::string::npos; }, kTimeout));
  }

  void Read() {
    socket.async_read_some(asio::buffer(buffer),
                           [this](const asio::error_code& error, std::size_t size) {
                             received.append(buffer.data(), size);
                             if (error) {
                               end = error;
                             } else {
                               Read();
                             }
                           });
  }

  asio::error_code RunToTheEnd() {
    EXPECT_TRUE(fleet.RunUntil([&] { return end.has_value(); }, kTimeout));
    return end.value_or(asio::error_code());
  }

  static constexpr std::uint64_t kEvents = 40;
  static constexpr const char* kLastEvent = "id: 40\n";

  fleet_emulator fleet{Options()};
  std::shared_ptr<caller> request;
  asio::ip::tcp::socket socket{fleet.loop()};
  std::array<char, 4096> buffer{};
  std::string received;
  std::optional<asio::error_code> end;
};

// Guards against a stream that looks complete because its gateway was killed.
TEST_F(unframed_caller_test, SeesAResetWhenTheGatewayIsKilled) {
  fleet.gateway(0).Kill();
  EXPECT_EQ(RunToTheEnd(), asio::error::connection_reset);
  EXPECT_EQ(received.find(kLastEvent), std::string::npos);
}

// Guards against cutting off the end of a stream that is complete.
TEST_F(unframed_caller_test, SeesTheOrderlyEndOfAStream) {
  EXPECT_EQ(RunToTheEnd(), asio::error::eof);
  EXPECT_NE(received.find(kLastEvent), std::string::npos);
}

// Guards against a stream that looks complete to a caller who has ended only what it sends.
TEST_F(unframed_caller_test, SeesAResetOrTheWholeStreamAfterHalfClosing) {
  socket.shutdown(asio::socket_base::shutdown_send);
  const asio::error_code error = RunToTheEnd();
  EXPECT_TRUE(error == asio::error::connection_reset ||
              received.find(kLastEvent) != std::string::npos);
}

}  // namespace
}  // namespace tarragon::emulator
