#include <gtest/gtest.h>

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <fstream>
#include <string>

#include "emulator/fleet_emulator.h"

namespace tarragon::emulator {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr milliseconds kRoundTime{20};

fleet_options Options(std::uint64_t seed) {
  fleet_options options;
  options.seed = seed;
  return options;
}

/** Sends short streams to all gateways in turn. */
void SendStreamsFor(fleet_emulator& fleet, duration time) {
  const time_point end = fleet.Now() + time;
  for (std::size_t i = 0; fleet.Now() < end; ++i) {
    fleet.SendRequest(call_kind::kReport, 2, i % fleet.gateway_count());
    fleet.RunFor(kRoundTime);
  }
}

/** @return connections of all gateways that the endpoint refused. */
std::ptrdiff_t CountRefusedConnections(fleet_emulator& fleet, const std::string& endpoint) {
  std::ptrdiff_t count = 0;
  for (std::size_t i = 0; i < fleet.gateway_count(); ++i) {
    std::ifstream log(fleet.gateway(i).log_file());
    std::string line;
    while (std::getline(log, line)) {
      count += line.find("event=send_failed") != std::string::npos &&
                       line.find("endpoint=" + endpoint) != std::string::npos &&
                       line.find("cause=connect_failed") != std::string::npos
                   ? 1
                   : 0;
    }
  }
  return count;
}

// Guards against gateways that connect again and again to an endpoint that has ended while the
// store is away, and against callers that pay for it. The share of what gateways tell each other is
// checked in endpoint_evidence_test.cc.
TEST(EndedEndpointTest, GatewaysTellEachOtherWithoutTheStore) {
  constexpr seconds kOutage{5};
  fleet_emulator fleet(Options(1));
  ASSERT_TRUE(fleet.WaitUntilServing());
  // The gateway processes would inherit the listening sockets of engines that exist before them.
  const std::string ended = fleet.AddEngine();
  SendStreamsFor(fleet, seconds(2));
  fleet.store().SetState(store_state::kResetting);
  fleet.engine(fleet.engine_count() - 1).Crash();
  SendStreamsFor(fleet, kOutage);
  EXPECT_TRUE(fleet.RunUntil(
      [&] {
        return std::ranges::all_of(fleet.callers(),
                                   [](const auto& each) { return each->is_done(); });
      },
      seconds(10)));
  const std::ptrdiff_t refused = CountRefusedConnections(fleet, ended);
  EXPECT_GE(refused, 1);
  // Two for each gateway.
  EXPECT_LE(refused, 2 * static_cast<std::ptrdiff_t>(fleet.gateway_count()));
  EXPECT_EQ(fleet.DescribeViolations(), "");
}

}  // namespace
}  // namespace tarragon::emulator
