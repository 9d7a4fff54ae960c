#ifndef TARRAGON_DECISION_RETRY_HANDLER_H_
#define TARRAGON_DECISION_RETRY_HANDLER_H_

#include <chrono>

#include "decision/dispatcher.h"
#include "decision/engine_core.h"
#include "tarragon/policy/retry_decider.h"

namespace tarragon::decision {

/** Asks the retry decider what follows an attempt without a whole answer, and does it. */
class retry_handler final {
 public:
  retry_handler(engine_core& core, dispatcher& queue);

  /** The attempt has ended for this cause. @param verdict what is known of this attempt. */
  void OnEnded(request_record& record,
               attempt_record& attempt,
               policy::attempt_end end,
               run_verdict verdict,
               std::string message = {});

  /** The generation can not be reached any more. The request must have no open attempt. */
  void OnUnreachableGeneration(request_record& record);

  /** Connects again at the next index to the same generation at the same endpoint. */
  void Reconnect(request_record& record, attempt_id attempt, duration delay);

  /** Sends a resume for an attempt that waits for its time. */
  void Resume(request_record& record, attempt_record& attempt);

 private:
  policy::retry_context FactsOf(const request_record& record,
                                const attempt_record& attempt,
                                policy::attempt_end end,
                                run_verdict verdict) const;
  /** Keeps the generation in mind, since its endpoint may return and still run it. */
  void NoteUnreachable(request_record& record, const attempt_record& attempt) const;
  /** The endpoint is still away, or is back and does not know the generation. */
  void OnRechecked(request_record& record, attempt_record& attempt, policy::attempt_end end);
  void SendAgain(request_record& record, const policy::resend_request& how);
  void GiveUp(request_record& record, policy::give_up_cause cause, std::string message);

  engine_core& core_;
  dispatcher& queue_;
  policy::retry_decider decider_;
};

}  // namespace tarragon::decision

#endif  // TARRAGON_DECISION_RETRY_HANDLER_H_
