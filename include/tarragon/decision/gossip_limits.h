#ifndef TARRAGON_DECISION_GOSSIP_LIMITS_H_
#define TARRAGON_DECISION_GOSSIP_LIMITS_H_

#include <cstddef>

namespace tarragon::decision {

// Numbers of `peer_state` elements that together fit into one datagram of 1,200 bytes. The engine
// applies the limits itself: where it rotates through a longer list, truncation at the datagram
// would drop the same elements each time.

/** An entry sends to 64 endpoints at the fleet size expected in two years. */
inline constexpr std::size_t kMaxGossipEndpoints = 64;
inline constexpr std::size_t kMaxGossipAccounts = 14;
inline constexpr std::size_t kMaxGossipSuspects = 6;
inline constexpr std::size_t kMaxGossipAdoptions = 10;

}  // namespace tarragon::decision

#endif  // TARRAGON_DECISION_GOSSIP_LIMITS_H_
