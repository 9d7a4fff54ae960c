#ifndef TARRAGON_NET_GOSSIP_NODE_H_
#define TARRAGON_NET_GOSSIP_NODE_H_

#include <functional>
#include <memory>
#include <vector>

#include "tarragon/base/clock.h"
#include "tarragon/membership/swim_member.h"

namespace tarragon::net {

class io_thread;

/** Called on the I/O thread with no locks held; must not block. */
struct gossip_callbacks {
  std::function<void(const decision::peer_state_received&)> on_state;
  std::function<void(const membership::member_change&)> on_change;
  std::function<void(const membership::newer_document&)> on_newer_document;
};

struct gossip_options {
  membership::swim_options swim;
  /** Share of outgoing datagrams to drop, to measure behavior under packet loss. */
  double injected_loss = 0;
};

/** Runs a `swim_member` on a UDP socket. Thread-safe. */
class gossip_node final {
 public:
  /**
   * @param io, time must outlive the node.
   * @param seed seed of the random number generators.
   * @return empty if the address of `options.swim.gossip` cannot be bound.
   */
  static std::unique_ptr<gossip_node> Make(io_thread& io,
                                           const clock& time,
                                           const gossip_options& options,
                                           std::uint64_t seed,
                                           gossip_callbacks callbacks);
  ~gossip_node();

  /** Announces the document version in force; ignored unless newer than the last announced. */
  void SetDocumentVersion(std::uint64_t version);
  void SetState(const decision::peer_state& state);
  void SetSeeds(std::vector<wire::peer_address> seeds);
  void SetLeaseHint(const membership::lease_hint& hint);
  /** Announces to the other members that this one leaves intentionally. */
  void Leave();

  membership::lease_hint LeaseHint() const;
  std::vector<membership::member_view> Members() const;
  std::size_t AliveCount() const;
  membership::swim_counters Counters() const;

 private:
  struct state;
  explicit gossip_node(std::shared_ptr<state> shared_state);

  /** Shared with handlers that are still queued when the node is destroyed. */
  std::shared_ptr<state> state_;
};

}  // namespace tarragon::net

#endif  // TARRAGON_NET_GOSSIP_NODE_H_
