#ifndef TARRAGON_DECISION_CALL_HANDLER_H_
#define TARRAGON_DECISION_CALL_HANDLER_H_

#include "decision/dispatcher.h"
#include "decision/engine_core.h"
#include "decision/retry_handler.h"

namespace tarragon::decision {

/** Handles the attempts of calls to plain services: responses, claims, hedges and retries. */
class call_handler final {
 public:
  call_handler(engine_core& core, dispatcher& queue, retry_handler& retries)
      : core_(core), queue_(queue), retries_(retries) {}

  void OnAccepted(request_record& record, attempt_record& attempt);
  void OnResponse(request_record& record, attempt_record& attempt, const response_received& event);
  void OnFailed(request_record& record, attempt_record& attempt, const attempt_failed& event);

  /** Records the response in the claim of an unrepeatable call, also after the request's end. */
  void RecordClaimResult(const attempt_record& attempt, const response_received& event);

  /** Finishes calls at their deadline and hedges slow repeatable calls. */
  void Tick(request_record& record);

 private:
  /** Records a failure for each endpoint whose earlier attempt was slower than `winner`. */
  void PenalizeSlowerEndpoints(const request_record& record, const attempt_record& winner);

  engine_core& core_;
  dispatcher& queue_;
  retry_handler& retries_;
};

}  // namespace tarragon::decision

#endif  // TARRAGON_DECISION_CALL_HANDLER_H_
