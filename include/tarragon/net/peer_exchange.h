#ifndef TARRAGON_NET_PEER_EXCHANGE_H_
#define TARRAGON_NET_PEER_EXCHANGE_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "tarragon/base/clock.h"
#include "tarragon/decision/event.h"
#include "tarragon/document/document_replica.h"
#include "tarragon/membership/swim_member.h"
#include "tarragon/net/fleet_keys.h"
#include "tarragon/wire/member_record.h"

namespace tarragon::net {

struct peer_exchange_options {
  std::string vm;
  /** UDP and TCP address at which the other VMs reach this one. */
  wire::peer_address address;
  std::vector<wire::peer_address> seeds;
  fleet_keys keys;
  /** Interval at which the local state is handed to gossip. */
  std::chrono::milliseconds publish_interval{250};
};

/**
 * Exchanges membership and local state with the other VMs by gossip, and serves them the document
 * in force over TCP.
 */
class peer_exchange final {
 public:
  /** May block while the event queue is full; called on the publisher thread. */
  using event_sink = std::function<void(decision::event&&)>;
  using state_source = std::function<decision::peer_state()>;
  /** Called on the I/O thread; must not block. */
  using newer_document_sink = std::function<void(const membership::newer_document&)>;

  struct callbacks {
    event_sink on_event;
    state_source get_local_state;
    newer_document_sink on_newer_document;
  };

  /** @param replica, time must outlive this object. */
  peer_exchange(peer_exchange_options options,
                callbacks handlers,
                const document::document_replica& replica,
                const clock& time);
  ~peer_exchange();

  /** @return false if the address cannot be bound. */
  bool Start();
  /**
   * Closes the sockets and ends the threads. No other method may run at the same time.
   * Idempotent.
   */
  void Stop();

  /** Announces the document version in force here. Ignored while not started. */
  void SetDocumentVersion(std::uint64_t version);
  /** Replaces the seeds taken from the platform's VM list; those of the settings stay. */
  void SetListedSeeds(const std::vector<wire::peer_address>& listed);
  /** Announces to the other members that this one leaves intentionally. */
  void Leave();

  /** @return other members as known by gossip; empty while not started. */
  std::vector<membership::member_view> Members() const;

 private:
  struct state;
  std::unique_ptr<state> state_;
};

}  // namespace tarragon::net

#endif  // TARRAGON_NET_PEER_EXCHANGE_H_
