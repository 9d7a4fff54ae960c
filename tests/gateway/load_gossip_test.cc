#include "tarragon/gateway/load_gossip.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <cstdint>
#include <limits>
#include <string>

namespace tarragon::gateway {
namespace {

// Guards against a field that is lost or swapped between encoder and decoder, which would give
// other daemons a wrong load, speed or departure.
TEST(LoadGossipTest, ReportRoundTrips) {
  routing::peer_report report;
  report.daemon = "vm-1";
  report.started_unix_ms = 123;
  report.sequence = 9;
  report.endpoints = {{77, {1, 4000, 3000, 1}, std::chrono::microseconds(28500), 130},
                      {78, {}, {}, 0, 12, {3, 6.25}},
                      {79, {}, {}, 0, 0, {4, std::nullopt}}};
  report.departures = {{88, 7}};
  const auto decoded = DecodeReport(EncodeReport(report));
  ASSERT_TRUE(decoded);
  EXPECT_EQ(decoded->daemon, "vm-1");
  EXPECT_EQ(decoded->endpoints.at(0).load, report.endpoints[0].load);
  EXPECT_EQ(decoded->endpoints.at(0).event_interval, std::chrono::microseconds(28500));
  EXPECT_EQ(decoded->endpoints.at(0).min_slowness_percent, 130);
  EXPECT_EQ(decoded->endpoints.at(1).recent_sends, 12U);
  EXPECT_EQ(decoded->endpoints.at(1).limit, report.endpoints[1].limit);
  EXPECT_EQ(decoded->endpoints.at(2).limit, report.endpoints[2].limit);
  EXPECT_EQ(decoded->departures.at(0).row_version, 7U);
}

// Guards against a load that other daemons take for a small one because its sum needs over 32 bits.
TEST(LoadGossipTest, LargestLoadsSaturate) {
  constexpr std::uint64_t kMax = std::numeric_limits<std::uint32_t>::max();
  routing::peer_report report;
  report.daemon = "vm";
  report.endpoints = {{1, {.requests = 2, .tokens = kMax + 3, .unread_tokens = kMax}, {}}};
  const auto decoded = DecodeReport(EncodeReport(report));
  ASSERT_TRUE(decoded);
  EXPECT_EQ(decoded->endpoints.at(0).load.tokens, kMax);
  EXPECT_EQ(decoded->endpoints.at(0).load.unread_tokens, kMax);
}

// Guards against a crash on a truncated datagram or one from an unrelated sender.
RC_GTEST_PROP(LoadGossipTest, InvalidDatagramsAreIgnored, (const std::string& bytes)) {
  routing::peer_report report;
  report.daemon = "vm";
  report.endpoints = {{1, {1, 1, 1}, {}}};
  std::string datagram = EncodeReport(report);
  RC_ASSERT(DecodeReport(datagram).has_value());
  const auto cut = *rc::gen::inRange<std::size_t>(0, datagram.size());
  RC_ASSERT(!DecodeReport(datagram.substr(0, cut)).has_value());
  DecodeReport(bytes);
  DecodeReport(datagram.substr(0, cut) + bytes);
}

// Guards against a damaged length field that makes the decoder allocate more memory than the VM has
// (found with the address sanitizer).
TEST(LoadGossipTest, DamagedDatagramIsNotDecoded) {
  routing::peer_report report;
  report.daemon = "vm";
  report.endpoints = {{1, {1, 1, 1}, {}}};
  const std::string datagram = EncodeReport(report);
  for (std::size_t i = 0; i < datagram.size(); ++i) {
    std::string damaged = datagram;
    damaged[i] = static_cast<char>(damaged[i] ^ 0x40);
    EXPECT_FALSE(DecodeReport(damaged).has_value()) << i;
  }
}

}  // namespace
}  // namespace tarragon::gateway
