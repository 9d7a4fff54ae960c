#ifndef TARRAGON_ROUTING_TUNNEL_PEERS_H_
#define TARRAGON_ROUTING_TUNNEL_PEERS_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "tarragon/base/clock.h"
#include "tarragon/routing/relay_plan.h"

namespace tarragon::routing {

/**
 * The daemons through which this one reaches endpoints while it is cut off from them. Each daemon
 * has an order of its own, so that the load of those that are cut off spreads over the others.
 */
class tunnel_peers final {
 public:
  /** Replaces the list; what is known of a daemon that stays in it is kept. */
  void SetMembers(const std::vector<relay_member>& members, const relay_member& self);

  /**
   * Chooses among daemons that have opened a tunnel lately; if these are few, one that has not been
   * tried.
   * @param entropy random number.
   * @return the daemon's address; empty if all have failed lately.
   */
  std::optional<std::string> Choose(time_point now, std::uint64_t entropy) const;

  void OnOpened(const std::string& address);
  /** The daemon does not respond, has no path itself, or has no capacity. */
  void OnFailed(time_point now, const std::string& address);

 private:
  /** Daemons with which a daemon spreads its connections. */
  static constexpr std::size_t kWanted = 2;
  static constexpr std::size_t kMaxPerKind = 16;
  /** Pause after a failure; doubles with each further one up to the maximum. */
  static constexpr std::chrono::milliseconds kMinPause{500};
  static constexpr std::chrono::milliseconds kMaxPause{4000};

  struct peer_state {
    bool has_opened = false;
    std::uint32_t failures = 0;
    time_point usable_at;
  };

  std::vector<std::string> addresses_;
  std::unordered_map<std::string, peer_state> states_;
};

}  // namespace tarragon::routing

#endif  // TARRAGON_ROUTING_TUNNEL_PEERS_H_
