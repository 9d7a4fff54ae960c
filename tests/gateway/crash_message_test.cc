#include "tarragon/gateway/crash_message.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <string>
#include <vector>

#include "tarragon/gateway/load_gossip.h"

namespace tarragon::gateway {
namespace {

std::vector<routing::crash_record> MakeRecords(std::size_t count) {
  std::vector<routing::crash_record> records;
  for (std::size_t i = 0; i < count; ++i) {
    records.push_back({.trait = {{~i}, 255},
                       .endpoint_hash = ~i,
                       .answer_begun = i % 2 == 0,
                       .cleared = i % 3 == 0,
                       .answered_before = i % 5 == 0,
                       .age = std::chrono::milliseconds(i * 1000)});
  }
  return records;
}

// Guards against a field that is lost or swapped between encoder and decoder, which would refuse
// sound requests at other daemons.
TEST(CrashMessageTest, RecordsRoundTrip) {
  const auto records = MakeRecords(7);
  EXPECT_EQ(DecodeCrashRecords(EncodeCrashRecords(records)), records);
}

// Guards against datagrams that are fragmented and lost under load.
TEST(CrashMessageTest, MostRecordsFitIntoADatagram) {
  EXPECT_LE(EncodeCrashRecords(MakeRecords(kMaxCrashRecords)).size(), 1200U);
}

// Guards against a load report that is taken for crash records, or the reverse.
TEST(CrashMessageTest, OtherMessagesAreNotDecoded) {
  routing::peer_report report;
  report.daemon = "vm";
  EXPECT_FALSE(DecodeCrashRecords(EncodeReport(report)));
  EXPECT_FALSE(DecodeReport(EncodeCrashRecords(MakeRecords(1))));
}

// Guards against a crash on a truncated or damaged datagram.
RC_GTEST_PROP(CrashMessageTest, DamagedDatagramsAreIgnored, (const std::string& bytes)) {
  std::string datagram = EncodeCrashRecords(MakeRecords(3));
  const auto cut = *rc::gen::inRange<std::size_t>(0, datagram.size());
  RC_ASSERT(!DecodeCrashRecords(datagram.substr(0, cut)));
  DecodeCrashRecords(bytes);
  datagram[cut] = static_cast<char>(datagram[cut] ^ 0x40);
  RC_ASSERT(!DecodeCrashRecords(datagram));
}

}  // namespace
}  // namespace tarragon::gateway
