#include "tarragon/wire/datagram.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <string>

#include "tarragon/base/hash.h"

namespace tarragon::wire {
namespace {

constexpr const char* kKey = "fleet-key";

member_record MakeRecord(const std::string& name) {
  member_record record;
  record.name = member_name::From(name);
  record.gossip.port = 1;
  return record;
}

probe_message MakeFullProbe() {
  probe_message message;
  message.sender = MakeRecord("entry-01");
  message.update_count = kUpdatesPerProbe;
  message.updates.fill(MakeRecord("entry-02"));
  decision::peer_state state;
  for (std::uint32_t i = 0; i < 200; ++i) {
    state.endpoints.push_back({i, static_cast<std::uint16_t>(i)});
    state.accounts.push_back({account_id{i}, static_cast<float>(i)});
    state.suspects.push_back({fingerprint{i}, static_cast<std::uint8_t>(i), 1});
    state.adopted.push_back(i);
  }
  message.payload = ToPayload(state, 9);
  return message;
}

// Guards against fragmented datagrams, and against a probe size that depends on the contents.
TEST(Datagram, SizeIsFixedAndBounded) {
  probe_message empty;
  empty.sender = MakeRecord("a");
  const std::string full = Encode(MakeFullProbe(), kKey);
  EXPECT_EQ(full.size(), Encode(empty, kKey).size());
  EXPECT_LE(full.size(), kMaxDatagramSize);
  EXPECT_LE(Encode(sync_message{}, kKey).size(), kMaxDatagramSize);
  EXPECT_LE(Encode(announce_message{}, kKey).size(), 200U);
}

// Guards against counts that change in encoding and decoding, and against a payload that keeps the
// smallest counts when not all fit.
TEST(Datagram, RoundTripKeepsLargestCounts) {
  const auto decoded = Decode(Encode(MakeFullProbe(), kKey), kKey);
  ASSERT_TRUE(decoded.has_value());
  const auto& message = std::get<probe_message>(*decoded);
  EXPECT_EQ(message.updates[5].name.Text(), "entry-02");
  const decision::peer_state state = FromPayload(message.payload);
  ASSERT_EQ(state.endpoints.size(), kEndpointsPerProbe);
  EXPECT_EQ(state.endpoints[0].in_flight, 199);
  ASSERT_EQ(state.accounts.size(), kAccountsPerProbe);
  EXPECT_EQ(state.accounts[0].account.value, 199U);
  ASSERT_EQ(state.suspects.size(), kSuspectsPerProbe);
  EXPECT_EQ(state.suspects[2].request_fingerprint.value, 2U);
  EXPECT_EQ(state.suspects[2].crashes, 2);
  EXPECT_EQ(state.suspects[2].cleared, 1);
  ASSERT_EQ(state.adopted.size(), kAdoptionsPerProbe);
  EXPECT_EQ(state.adopted[9], 9U);
}

// Guards against an in-flight count above 255 that wraps around to a small one.
TEST(Datagram, LargeCountsSaturate) {
  decision::peer_state state;
  state.endpoints.push_back({1, 256});
  EXPECT_EQ(FromPayload(ToPayload(state, 1)).endpoints.at(0).in_flight, 255);
}

// Guards against accepting datagrams that are authenticated with another key.
TEST(Datagram, RejectsOtherKey) {
  EXPECT_FALSE(Decode(Encode(MakeFullProbe(), kKey), "other").has_value());
}

// Guards against a crash on changed, truncated or extended datagrams, and against accepting them.
RC_GTEST_PROP(Datagram, RejectsChangedBytes, ()) {
  std::string bytes = Encode(MakeFullProbe(), kKey);
  const auto at = *rc::gen::inRange<std::size_t>(0, bytes.size());
  switch (*rc::gen::inRange(0, 3)) {
    case 0:
      bytes[at] = static_cast<char>(bytes[at] ^ *rc::gen::inRange(1, 256));
      break;
    case 1:
      bytes.resize(at);
      break;
    default:
      bytes.append(at + 1, 'x');
  }
  RC_ASSERT(!Decode(bytes, kKey).has_value());
}

// Guards against a read past the end of an array: a faulty peer that has the key may send a count
// that is too large.
TEST(Datagram, RejectsCountsOutOfRange) {
  probe_message updates = MakeFullProbe();
  updates.update_count = kUpdatesPerProbe + 1;
  EXPECT_FALSE(Decode(Encode(updates, kKey), kKey).has_value());
  probe_message endpoints = MakeFullProbe();
  endpoints.payload.endpoint_count = kEndpointsPerProbe + 1;
  EXPECT_FALSE(Decode(Encode(endpoints, kKey), kKey).has_value());
  probe_message adopted = MakeFullProbe();
  adopted.payload.adopted_count = kAdoptionsPerProbe + 1;
  EXPECT_FALSE(Decode(Encode(adopted, kKey), kKey).has_value());
  sync_message records;
  records.sender = MakeRecord("a");
  records.record_count = kRecordsPerSync + 1;
  EXPECT_FALSE(Decode(Encode(records, kKey), kKey).has_value());
}

// Guards against a crash on invalid contents with a valid tag, sent by a faulty peer with the key.
RC_GTEST_PROP(Datagram, RandomContentsUnderValidTagDoNotCrash, ()) {
  std::string body = Encode(MakeFullProbe(), kKey);
  body.resize(body.size() - 16);
  const auto noise = *rc::gen::arbitrary<std::string>();
  for (const char byte : noise) {
    body[*rc::gen::inRange<std::size_t>(4, body.size())] = byte;
  }
  body.resize(*rc::gen::inRange<std::size_t>(5, body.size() + 1));
  const std::string hex = HmacSha256Hex(kKey, body);
  for (std::size_t i = 0; i < 32; i += 2) {
    body += static_cast<char>(std::stoi(hex.substr(i, 2), nullptr, 16));
  }
  const auto decoded = Decode(body, kKey);
  if (decoded && std::holds_alternative<probe_message>(*decoded)) {
    RC_ASSERT(std::get<probe_message>(*decoded).update_count <= kUpdatesPerProbe);
  }
}

}  // namespace
}  // namespace tarragon::wire
