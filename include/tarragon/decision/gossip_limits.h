#ifndef TARRAGON_DECISION_GOSSIP_LIMITS_H_
#define TARRAGON_DECISION_GOSSIP_LIMITS_H_

#include <cstddef>

namespace tarragon::decision {

// Entries of `peer_state` that fit together into one datagram of 1,200 bytes. The engine offers no
// more than these: what it picks in turn would otherwise be cut to the same part each time.

/** An entry sends to 64 endpoints at the two-year size. */
inline constexpr std::size_t kMaxGossipEndpoints = 64;
inline constexpr std::size_t kMaxGossipAccounts = 14;
inline constexpr std::size_t kMaxGossipSuspects = 6;
inline constexpr std::size_t kMaxGossipAdoptions = 10;

}  // namespace tarragon::decision

#endif  // TARRAGON_DECISION_GOSSIP_LIMITS_H_
