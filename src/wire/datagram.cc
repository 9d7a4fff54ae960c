#include "tarragon/wire/datagram.h"

#include <algorithm>
#include <cereal/archives/binary.hpp>
#include <cereal/types/array.hpp>
#include <charconv>
#include <exception>
#include <istream>
#include <ostream>
#include <span>
#include <streambuf>
#include <vector>

#include "tarragon/base/hash.h"
#include "tarragon/base/invariant.h"

namespace tarragon::wire {

namespace {

constexpr std::size_t kTagSize = 16;
constexpr std::uint16_t kMaxInFlight = 255;
// Changes with the message layout, so that processes with different layouts ignore each other's
// datagrams.
constexpr std::uint32_t kLayoutId = 0x54440002;

/** Reads from or writes to a fixed buffer without allocation. */
class span_buffer final : public std::streambuf {
 public:
  span_buffer(char* data, std::size_t size) {
    setg(data, data, data + size);
    setp(data, data + size);
  }
  std::size_t WrittenSize() const { return static_cast<std::size_t>(pptr() - pbase()); }
  bool IsFullyRead() const { return gptr() == egptr(); }
};

/** HMAC-SHA256 truncated to 128 bits: a forged datagram passes with probability 2^-128. */
std::string ComputeTag(std::string_view body, std::string_view key) {
  const std::string hex = HmacSha256Hex(key, body);
  std::string tag(kTagSize, '\0');
  for (std::size_t i = 0; i < kTagSize; ++i) {
    std::uint8_t byte = 0;
    std::from_chars(hex.data() + 2 * i, hex.data() + 2 * i + 2, byte, 16);
    tag[i] = static_cast<char>(byte);
  }
  return tag;
}

bool IsValid(const member_record& record) {
  return record.state <= member_state::kLeft && record.name.bytes[0] != '\0' &&
         record.gossip.port != 0;
}

bool IsValid(const probe_message& message) {
  const auto updates = std::span(message.updates);
  return message.kind <= probe_kind::kNack && message.update_count <= updates.size() &&
         message.payload.endpoint_count <= kEndpointsPerProbe &&
         message.payload.account_count <= kAccountsPerProbe &&
         message.payload.suspect_count <= kSuspectsPerProbe &&
         message.payload.adopted_count <= kAdoptionsPerProbe && IsValid(message.sender) &&
         std::ranges::all_of(updates.first(message.update_count),
                             [](const member_record& record) { return IsValid(record); });
}

bool IsValid(const announce_message& message) {
  return IsValid(message.sender);
}

bool IsValid(const sync_message& message) {
  const auto records = std::span(message.records);
  return message.record_count <= records.size() && IsValid(message.sender) &&
         std::ranges::all_of(records.first(message.record_count),
                             [](const member_record& record) { return IsValid(record); });
}

template <typename T>
std::optional<datagram> DecodeAs(cereal::BinaryInputArchive& archive, const span_buffer& buffer) {
  T message;
  archive(message);
  if (!buffer.IsFullyRead() || !IsValid(message)) {
    return std::nullopt;
  }
  return message;
}

std::optional<datagram> DecodeBody(std::string_view body) {
  // The stream only reads, so the `const_cast` is safe.
  span_buffer buffer(const_cast<char*>(body.data()), body.size());
  std::istream stream(&buffer);
  cereal::BinaryInputArchive archive(stream);
  std::uint32_t layout = 0;
  std::uint8_t index = 0;
  archive(layout, index);
  if (layout != kLayoutId) {
    return std::nullopt;
  }
  switch (index) {
    case 0:
      return DecodeAs<probe_message>(archive, buffer);
    case 1:
      return DecodeAs<announce_message>(archive, buffer);
    case 2:
      return DecodeAs<sync_message>(archive, buffer);
    default:
      return std::nullopt;
  }
}

}  // namespace

state_payload ToPayload(const decision::peer_state& state, std::uint64_t sequence) {
  state_payload payload;
  payload.sequence = sequence;
  std::vector<decision::endpoint_count> endpoints = state.endpoints;
  std::ranges::sort(endpoints, std::ranges::greater(), &decision::endpoint_count::in_flight);
  std::vector<decision::account_usage> accounts = state.accounts;
  std::ranges::sort(accounts, std::ranges::greater(),
                    &decision::account_usage::requests_per_second);
  for (const auto& entry : endpoints) {
    if (payload.endpoint_count < kEndpointsPerProbe) {
      payload.endpoints[payload.endpoint_count++] = {
          entry.endpoint_hash,
          static_cast<std::uint8_t>(std::min<std::uint16_t>(entry.in_flight, kMaxInFlight))};
    }
  }
  for (const auto& entry : accounts) {
    if (payload.account_count < kAccountsPerProbe) {
      payload.accounts[payload.account_count++] = {entry.account.value, entry.requests_per_second};
    }
  }
  for (const auto& entry : state.suspects) {
    if (payload.suspect_count < kSuspectsPerProbe) {
      payload.suspects[payload.suspect_count++] = {entry.request_fingerprint.value, entry.crashes,
                                                   entry.cleared};
    }
  }
  for (const std::uint64_t generation : state.adopted) {
    if (payload.adopted_count < kAdoptionsPerProbe) {
      payload.adopted[payload.adopted_count++] = generation;
    }
  }
  return payload;
}

decision::peer_state FromPayload(const state_payload& payload) {
  decision::peer_state state;
  for (const auto& entry : std::span(payload.endpoints).first(payload.endpoint_count)) {
    state.endpoints.push_back({entry.hash, entry.in_flight});
  }
  for (const auto& entry : std::span(payload.accounts).first(payload.account_count)) {
    state.accounts.push_back({account_id{entry.account}, entry.requests_per_second});
  }
  for (const auto& entry : std::span(payload.suspects).first(payload.suspect_count)) {
    state.suspects.push_back(
        {fingerprint{entry.request_fingerprint}, entry.crashes, entry.cleared});
  }
  const auto adopted = std::span(payload.adopted).first(payload.adopted_count);
  state.adopted.assign(adopted.begin(), adopted.end());
  return state;
}

std::string Encode(const datagram& message, std::string_view key) {
  std::array<char, kMaxDatagramSize> bytes{};
  span_buffer buffer(bytes.data(), bytes.size() - kTagSize);
  std::ostream stream(&buffer);
  cereal::BinaryOutputArchive archive(stream);
  const auto index = static_cast<std::uint8_t>(message.index());
  archive(kLayoutId, index);
  std::visit([&archive](const auto& content) { archive(content); }, message);
  std::string body(bytes.data(), buffer.WrittenSize());
  body += ComputeTag(body, key);
  TARRAGON_INVARIANT(body.size() <= kMaxDatagramSize, "encoded datagram exceeds kMaxDatagramSize");
  return body;
}

std::optional<datagram> Decode(std::string_view bytes, std::string_view key) {
  if (bytes.size() <= kTagSize || bytes.size() > kMaxDatagramSize) {
    return std::nullopt;
  }
  const std::string_view body = bytes.substr(0, bytes.size() - kTagSize);
  if (!ConstantTimeEquals(ComputeTag(body, key), bytes.substr(body.size()))) {
    return std::nullopt;
  }
  try {
    return DecodeBody(body);
  } catch (const std::exception&) {  // cereal throws on truncated input.
    return std::nullopt;
  }
}

}  // namespace tarragon::wire
