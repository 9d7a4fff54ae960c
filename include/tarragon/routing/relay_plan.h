#ifndef TARRAGON_ROUTING_RELAY_PLAN_H_
#define TARRAGON_ROUTING_RELAY_PLAN_H_

#include <compare>
#include <cstddef>
#include <string>
#include <vector>

namespace tarragon::routing {

/** A daemon that relays rows of the store. */
struct relay_member {
  /** `ip:port`, unique in the fleet. */
  std::string address;
  std::string failure_domain;
  auto operator<=>(const relay_member&) const = default;
};

/** Where a daemon gets the store's rows from. */
struct relay_plan {
  /** The daemon reads the store itself and does not follow another daemon. */
  bool reads_store = false;
  /** The fleet is large enough that daemons follow one another. */
  bool is_relayed = false;
  /** Addresses of the daemons to follow, the preferred one first. */
  std::vector<std::string> sources;
  /**
   * Addresses of further daemons to follow while the store refuses this one and its sources have
   * old rows: some of other failure domains and some of its own, the preferred one first.
   */
  std::vector<std::string> alternates;
  /** If this daemon reads the store: roots of other failure domains to connect to. */
  std::vector<std::string> peer_roots;
  /** Daemons between this one and the store, if all of them follow their first source. */
  std::size_t depth = 0;
  bool operator==(const relay_plan&) const = default;
};

/** Fleets of up to this size read the store directly: a relay would save few calls. */
inline constexpr std::size_t kMaxDirectReaders = 16;
/** Alternates of other failure domains, and of the daemon's own, at most. */
inline constexpr std::size_t kAlternatesPerKind = 4;
/** Daemons that follow the same daemon; bounds the bytes that a change costs each daemon. */
inline constexpr std::size_t kRelayFanOut = 6;

/**
 * Ranks other daemons by a hash that differs by daemon, so that daemons which need others spread
 * over the fleet. Takes those of other failure domains and those of the own one in turns.
 * @param max_per_kind largest number of either.
 */
std::vector<std::string> RankPeers(const std::vector<relay_member>& members,
                                   const relay_member& self,
                                   const std::vector<std::string>& excluded,
                                   std::size_t max_per_kind);

/**
 * Arranges the daemons of each failure domain in a tree, ordered by a hash of their addresses. The
 * root reads the store; the others follow their ancestors, nearest first, and then the root's first
 * child, which reads the store if the root is gone. Needs no messages: daemons with different views
 * of the fleet only disagree on the shape of the tree, and the age of rows ends a loop.
 * @param members all known daemons, with or without `self`.
 */
relay_plan MakeRelayPlan(const std::vector<relay_member>& members, const relay_member& self);

}  // namespace tarragon::routing

#endif  // TARRAGON_ROUTING_RELAY_PLAN_H_
