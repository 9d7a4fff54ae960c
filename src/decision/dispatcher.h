#ifndef TARRAGON_DECISION_DISPATCHER_H_
#define TARRAGON_DECISION_DISPATCHER_H_

#include <cstddef>
#include <optional>

#include "decision/engine_core.h"

namespace tarragon::decision {

/** Queues requests that wait for an endpoint, and sends them. */
class dispatcher final {
 public:
  explicit dispatcher(engine_core& core) : core_(core) {}

  /** Queues a new request, or refuses it if the queue is full or it would not finish in time. */
  void Enqueue(request_record& record);

  /** Queues a request that was sent before. New requests do not displace it. */
  void Requeue(request_record& record);

  /** Sends the requests that endpoints have capacity for, and finishes expired ones. */
  void Dispatch();

  /** Sends a second attempt of a slow call if the hedge policy and the retry budget allow it. */
  void TryHedge(request_record& record);

  std::size_t size() const { return queued_; }
  void Validate() const;

 private:
  void RefuseQueued(request_record& record, finish_reason reason, duration wait);
  void DispatchFifo(service_policies& service);
  void DispatchQueue(service_policies& service);
  bool TrySend(request_record& record);
  /**
   * Tries to resume a lost generation at an endpoint that was unreachable, before a retry is sent.
   * @return false if no such generation is due.
   */
  bool RecheckLostGeneration(request_record& record);
  void Send(request_record& record, const endpoint_state& endpoint);
  /** Finishes a refused crash suspect or a request past its deadline. @return whether it did. */
  bool FinishIfRefusedOrExpired(request_record& record);

  engine_core& core_;
  std::size_t queued_ = 0;
};

}  // namespace tarragon::decision

#endif  // TARRAGON_DECISION_DISPATCHER_H_
