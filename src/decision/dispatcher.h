#ifndef TARRAGON_DECISION_DISPATCHER_H_
#define TARRAGON_DECISION_DISPATCHER_H_

#include <cstddef>
#include <deque>
#include <optional>

#include "decision/engine_core.h"

namespace tarragon::decision {

/** Holds the requests that wait for an endpoint and sends them. */
class dispatcher final {
 public:
  explicit dispatcher(engine_core& core) : core_(core) {}

  /** Queues a request that has no open attempt. */
  void Enqueue(request_record& record);

  /** Sends what endpoints have room for and ends what has waited too long. */
  void Run();

  /** @return whether a second attempt was sent to another endpoint. */
  bool SendHedge(request_record& record);

  std::size_t size() const { return queue_.size(); }
  void Validate() const;

 private:
  std::optional<endpoint_name> Choose(const request_record& record);
  void Send(request_record& record, const endpoint_name& endpoint);

  engine_core& core_;
  std::deque<request_id> queue_;
  std::size_t next_ = 0;
};

}  // namespace tarragon::decision

#endif  // TARRAGON_DECISION_DISPATCHER_H_
