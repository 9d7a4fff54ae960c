#ifndef TARRAGON_WIRE_DATAGRAM_H_
#define TARRAGON_WIRE_DATAGRAM_H_

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include "tarragon/decision/event.h"
#include "tarragon/decision/gossip_limits.h"
#include "tarragon/wire/member_record.h"

namespace tarragon::wire {

/** Maximum datagram size; fits an Ethernet frame together with IP, UDP and tunnel headers. */
inline constexpr std::size_t kMaxDatagramSize = 1200;

inline constexpr std::size_t kUpdatesPerProbe = 6;
inline constexpr std::size_t kEndpointsPerProbe = decision::kMaxGossipEndpoints;
inline constexpr std::size_t kAccountsPerProbe = decision::kMaxGossipAccounts;
inline constexpr std::size_t kSuspectsPerProbe = decision::kMaxGossipSuspects;
inline constexpr std::size_t kAdoptionsPerProbe = decision::kMaxGossipAdoptions;
inline constexpr std::size_t kRecordsPerSync = 16;

/** Local state that one VM gossips. Only the first `*_count` entries of each array are valid. */
struct state_payload {
  struct endpoint_entry {
    std::uint32_t hash = 0;
    /** Saturates at 255; an entry has about 136 streams at the fleet size expected in two years. */
    std::uint8_t in_flight = 0;
    template <typename Archive>
    void serialize(Archive& archive) {
      archive(hash, in_flight);
    }
  };
  struct account_entry {
    std::uint64_t account = 0;
    float requests_per_second = 0;
    template <typename Archive>
    void serialize(Archive& archive) {
      archive(account, requests_per_second);
    }
  };
  struct suspect_entry {
    std::uint64_t request_fingerprint = 0;
    std::uint8_t crashes = 0;
    std::uint8_t cleared = 0;
    template <typename Archive>
    void serialize(Archive& archive) {
      archive(request_fingerprint, crashes, cleared);
    }
  };

  /** Incremented with each change at the sender; receivers drop older payloads. 0: no payload. */
  std::uint64_t sequence = 0;
  std::uint8_t endpoint_count = 0;
  std::uint8_t account_count = 0;
  std::uint8_t suspect_count = 0;
  std::uint8_t adopted_count = 0;
  std::array<endpoint_entry, kEndpointsPerProbe> endpoints;
  std::array<account_entry, kAccountsPerProbe> accounts;
  std::array<suspect_entry, kSuspectsPerProbe> suspects;
  std::array<std::uint64_t, kAdoptionsPerProbe> adopted{};

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(sequence, endpoint_count, account_count, suspect_count, adopted_count, endpoints,
            accounts, suspects, adopted);
  }
};

/**
 * Keeps the largest counts and the first suspects and adoptions that fit. The decision engine lists
 * the newest suspects first and lists adoptions in rotation.
 */
state_payload ToPayload(const decision::peer_state& state, std::uint64_t sequence);
decision::peer_state FromPayload(const state_payload& payload);

enum class probe_kind : std::uint8_t { kPing, kPingRequest, kAck, kNack };

/** Failure detector message with piggybacked member updates and the sender's local state. */
struct probe_message {
  probe_kind kind = probe_kind::kPing;
  std::uint64_t sequence = 0;
  member_record sender;
  /** Member to probe, or that was probed. An empty name matches any member at the address. */
  member_record target;
  std::uint64_t document_version = 0;
  std::uint64_t lease_fencing_number = 0;
  member_name lease_holder;
  state_payload payload;
  std::uint8_t update_count = 0;
  std::array<member_record, kUpdatesPerProbe> updates;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(kind, sequence, sender, target, document_version, lease_fencing_number, lease_holder,
            payload, update_count, updates);
  }
};

/** Announces the document version of the sender without waiting for the next probe. */
struct announce_message {
  member_record sender;
  std::uint64_t document_version = 0;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(sender, document_version);
  }
};

/** Part of the member list, or a request for the whole list. */
struct sync_message {
  member_record sender;
  std::uint64_t document_version = 0;
  bool wants_response = false;
  std::uint8_t record_count = 0;
  std::array<member_record, kRecordsPerSync> records;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(sender, document_version, wants_response, record_count, records);
  }
};

using datagram = std::variant<probe_message, announce_message, sync_message>;

/** @param key key shared by all members; authenticates the datagram. */
std::string Encode(const datagram& message, std::string_view key);

/** @return empty if the bytes are not a valid datagram under `key`. */
std::optional<datagram> Decode(std::string_view bytes, std::string_view key);

}  // namespace tarragon::wire

#endif  // TARRAGON_WIRE_DATAGRAM_H_
