#ifndef TARRAGON_ROUTING_LOAD_EXCHANGE_H_
#define TARRAGON_ROUTING_LOAD_EXCHANGE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "tarragon/base/clock.h"
#include "tarragon/routing/endpoint_registry.h"
#include "tarragon/routing/peer_loads.h"

namespace tarragon::routing {

/** Relation of a daemon to one with which it exchanges loads. */
enum class neighbor_kind : std::uint8_t {
  /** Source or follower in the relay tree of the failure domain. */
  kTree,
  /** Root of the tree of another failure domain. */
  kRoot,
};

/**
 * Sums the loads at the endpoints over a tree of daemons. Each daemon tells each neighbor the load
 * of all daemons on its own side of their link, so that every daemon learns the load of the whole
 * fleet at a cost that does not depend on the size of the fleet. The roots exchange the loads of
 * their own trees only, since their links form no tree.
 */
class load_exchange final {
 public:
  using neighbor_id = std::uint64_t;

  void AddNeighbor(neighbor_id id, neighbor_kind kind);
  /** Drops what the neighbor has told. */
  void RemoveNeighbor(neighbor_id id);

  /** Replaces the loads of this daemon itself. */
  void SetOwnLoads(const std::vector<endpoint_load_report>& reports);

  /** Applies changed loads of a neighbor; ignored if the neighbor is unknown. */
  void Receive(neighbor_id id, const std::vector<endpoint_load_report>& changes);

  bool HasChanges(neighbor_id id) const;

  /** @return up to `max_count` loads that the neighbor does not know yet, and marks them known. */
  std::vector<endpoint_load_report> TakeChanges(neighbor_id id, std::size_t max_count);

  /**
   * Sets what the other daemons know about the endpoints. After the first call, only those are
   * visited of which the others have told something new, or that have a limit, whose sends are
   * counted by time; all of them after the list of endpoints has changed.
   */
  void Apply(time_point now, endpoint_registry& registry);

  void Validate() const;

 private:
  using report_map = std::unordered_map<std::uint64_t, endpoint_load_report>;

  struct neighbor {
    neighbor_kind kind = neighbor_kind::kTree;
    report_map received;
    report_map sent;
    /** Endpoints whose load may differ from what was sent. */
    std::unordered_set<std::uint64_t> changed;
  };

  /** @return whether a neighbor of kind `to` is told what a neighbor of kind `from` has told. */
  static bool IsForwarded(neighbor_kind from, neighbor_kind to);
  endpoint_load_report Sum(std::uint64_t endpoint_hash, const neighbor* receiver) const;
  void MarkChanged(std::uint64_t endpoint_hash, const neighbor* origin);

  /** Drops own loads at endpoints that are not among the reports. */
  void DropUnreported(const std::vector<endpoint_load_report>& reports);
  void ApplyTo(time_point now, endpoint& known);

  report_map own_;
  /** Endpoints whose sum may differ from the one that was applied last. */
  std::unordered_set<std::uint64_t> unapplied_;
  /** Endpoints whose applied sum has a limit. */
  std::unordered_set<std::uint64_t> limited_;
  /** Revision of the list at the last call of `Apply`. */
  std::optional<std::uint64_t> applied_revision_;
  std::map<neighbor_id, neighbor> neighbors_;
};

}  // namespace tarragon::routing

#endif  // TARRAGON_ROUTING_LOAD_EXCHANGE_H_
