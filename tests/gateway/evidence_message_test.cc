#include "tarragon/gateway/evidence_message.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <string>
#include <vector>

#include "tarragon/gateway/crash_message.h"
#include "tarragon/gateway/load_gossip.h"

namespace tarragon::gateway {
namespace {

std::vector<routing::endpoint_statement> MakeStatements(std::size_t count) {
  std::vector<routing::endpoint_statement> statements;
  for (std::size_t i = 0; i < count; ++i) {
    statements.push_back(
        {.incarnation = {~i, 1'700'000'000'000},
         .row_version = 1'000 + i,
         .witness = ~(i << 8),
         .number = std::int64_t{1'700'000'000'000} << 20,
         .kind = i % 2 == 0 ? routing::evidence_kind::kRefused : routing::evidence_kind::kAnswers,
         .age = std::chrono::milliseconds(i * 100)});
  }
  return statements;
}

// Guards against a field that is lost or swapped between encoder and decoder, which would keep
// other endpoints out of use.
TEST(EvidenceMessageTest, StatementsRoundTrip) {
  const auto statements = MakeStatements(7);
  EXPECT_EQ(DecodeEvidence(EncodeEvidence(statements)), statements);
}

// Guards against datagrams that are fragmented and lost under load.
TEST(EvidenceMessageTest, MostStatementsFitIntoADatagram) {
  EXPECT_LE(EncodeEvidence(MakeStatements(kMaxStatements)).size(), 1200U);
}

// Guards against a crash on a damaged datagram, and messages that are taken for others.
RC_GTEST_PROP(EvidenceMessageTest, OtherDatagramsAreIgnored, (const std::string& bytes)) {
  std::string datagram = EncodeEvidence(MakeStatements(3));
  RC_ASSERT(!DecodeCrashRecords(datagram));
  RC_ASSERT(!DecodeReport(datagram));
  RC_ASSERT(!DecodeEvidence(EncodeCrashRecords({})));
  DecodeEvidence(bytes);
  const auto cut = *rc::gen::inRange<std::size_t>(0, datagram.size());
  RC_ASSERT(!DecodeEvidence(datagram.substr(0, cut)));
  datagram[cut] = static_cast<char>(datagram[cut] ^ 0x40);
  RC_ASSERT(!DecodeEvidence(datagram));
}

}  // namespace
}  // namespace tarragon::gateway
