#ifndef TARRAGON_DECISION_RETRY_HANDLER_H_
#define TARRAGON_DECISION_RETRY_HANDLER_H_

#include <chrono>

#include "decision/dispatcher.h"
#include "decision/engine_core.h"
#include "tarragon/policy/retry_decider.h"

namespace tarragon::decision {

/** Applies the decision of the retry decider to attempts that ended without a complete answer. */
class retry_handler final {
 public:
  retry_handler(engine_core& core, dispatcher& queue);

  /** Handles the end of an attempt. @param verdict whether this attempt ran or may have run. */
  void OnAttemptEnded(request_record& record,
                      attempt_record& attempt,
                      policy::attempt_end end,
                      run_verdict verdict,
                      std::string message = {});

  /** Retries or fails a request with an unreachable generation and without open attempts. */
  void OnUnreachableGeneration(request_record& record);

  /** After `delay`, resumes the same generation at the next index in a new attempt. */
  void Reconnect(request_record& record, attempt_id attempt, duration delay);

  /** Sends the resume of an attempt in backoff. */
  void Resume(request_record& record, attempt_record& attempt);

 private:
  policy::retry_context MakeRetryContext(const request_record& record,
                                         const attempt_record& attempt,
                                         policy::attempt_end end,
                                         run_verdict verdict) const;
  /** Records the generation for a later recheck, since its endpoint may return and still run it. */
  void RecordUnreachable(request_record& record, const attempt_record& attempt) const;
  /** Ends a failed recheck; requeues the request, or finishes it if its caller disconnected. */
  void OnRecheckFailed(request_record& record, attempt_record& attempt, policy::attempt_end end);
  void ScheduleRetry(request_record& record, const policy::resend_request& retry);
  void GiveUp(request_record& record, policy::give_up_cause cause, std::string message);

  engine_core& core_;
  dispatcher& queue_;
  policy::retry_decider decider_;
};

}  // namespace tarragon::decision

#endif  // TARRAGON_DECISION_RETRY_HANDLER_H_
