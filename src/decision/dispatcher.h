#ifndef TARRAGON_DECISION_DISPATCHER_H_
#define TARRAGON_DECISION_DISPATCHER_H_

#include <cstddef>
#include <optional>

#include "decision/engine_core.h"

namespace tarragon::decision {

/** Holds the requests that wait for an endpoint and sends them. */
class dispatcher final {
 public:
  explicit dispatcher(engine_core& core) : core_(core) {}

  /** Queues a new request, or refuses it if it would not be served in time. */
  void Enqueue(request_record& record);

  /** Queues a request that was sent before; it is not displaced by new ones. */
  void EnqueueAgain(request_record& record);

  /** Sends what endpoints have room for and ends what has waited too long. */
  void Run();

  /** Sends a second attempt of a slow read if policy and budget allow it. */
  void TryHedge(request_record& record);

  std::size_t size() const { return queued_; }
  void Validate() const;

 private:
  void RefuseQueued(request_record& record, finish_reason reason, duration wait);
  void RunInOrder(service_policies& service);
  void RunQueue(service_policies& service);
  bool TrySend(request_record& record);
  /**
   * Asks an endpoint that could not be reached for the generation that was lost with it.
   * @return false if there is nothing to ask.
   */
  bool Recheck(request_record& record);
  void Send(request_record& record, const endpoint_state& endpoint);
  bool EndIfHopeless(request_record& record);

  engine_core& core_;
  std::size_t queued_ = 0;
};

}  // namespace tarragon::decision

#endif  // TARRAGON_DECISION_DISPATCHER_H_
