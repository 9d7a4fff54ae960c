#ifndef TARRAGON_DECISION_ENGINE_CORE_H_
#define TARRAGON_DECISION_ENGINE_CORE_H_

#include <chrono>
#include <cstddef>
#include <map>
#include <random>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "decision/answer_checker.h"
#include "decision/attempt_table.h"
#include "decision/endpoint_table.h"
#include "decision/pending_claim_table.h"
#include "decision/policy_set.h"
#include "decision/request_record.h"
#include "tarragon/base/metrics.h"
#include "tarragon/decision/action.h"
#include "tarragon/decision/engine_options.h"

namespace tarragon::decision {

/** How the open attempts of a finishing request are handled. */
enum class attempt_disposition : std::uint8_t {
  /** The generation or call is stopped at the endpoint. */
  kCancel,
  /** Only the connection is closed, because another request now reads the generation. */
  kClose,
  /** The call continues, so that its result can be recorded. */
  kOrphan,
};

/** Outcome with which a request finishes; see `finish_request`. */
struct finish_details {
  finish_reason reason = finish_reason::kCompleted;
  int status = 200;
  std::string message = {};
  std::chrono::milliseconds retry_after{0};
  std::string engine_reason = {};
  attempt_disposition attempts = attempt_disposition::kCancel;
};

/** Tables shared by the handlers of one engine, and the operations that keep them consistent. */
class engine_core final {
 public:
  engine_core(engine_options options, std::uint64_t seed, metrics& counters);

  /** Starts the handling of one event. */
  void BeginEvent(time_point now, std::vector<action>& actions);
  /** Ends the handling of the event; drops the records of finished requests. */
  void EndEvent();

  /** Appends an action after checking it. */
  void Emit(action emitted);

  /** @return the new record. The id must not belong to a listed request. */
  request_record& OpenRequest(const request_properties& properties);

  /** Opens the request of a caller that reconnected and has the tokens before `next_index`. */
  request_record& OpenResumedRequest(const resume_arrived& event);

  /** @return the request, or null if it has finished or never existed. */
  request_record* Find(request_id id);

  /** Finishes a request: emits the verdict, disposes of its attempts and releases its claim. */
  void Finish(request_record& record, finish_details details);

  /** @return the outcome of a request whose fingerprint crashed too many endpoints. */
  finish_details SuspectRefusal(const request_record& record) const;

  /** Adds an attempt to the request. The calling function emits the send or resume. */
  attempt_record& AddAttempt(request_record& record, attempt_record attempt);

  /** Removes an attempt whose outcome is known. */
  void EndAttempt(request_record& record, attempt_id attempt, run_verdict verdict);

  /** Removes an attempt whose request has finished. */
  void RemoveAttempt(attempt_id attempt);

  /** Asks the endpoint to stop; the slot is freed by the outcome or after `cancel_timeout`. */
  void CancelAttempt(attempt_record& attempt);

  /** Makes the request the reader of `generation`; an empty id detaches the request. */
  void FollowGeneration(request_record& record, generation_id generation, std::uint32_t next_index);

  /** @return 128 random bits in lower-case hex. */
  std::string RandomHex();

  /** @return whether any attempt of the request so far ran or may have run. */
  run_verdict CombinedVerdict(const request_record& record) const;

  void IncrementCounter(std::string_view name) { counters.Counter(name).Add(); }

  void Validate() const;

  const engine_options options;
  metrics& counters;
  std::mt19937_64 random;
  time_point now;
  document::document_ptr document;
  bool draining = false;
  std::map<request_id, request_record> requests;
  attempt_table attempts;
  endpoint_table endpoints;
  policy_set policies;
  pending_claim_table claims;
  /** The request that reads each generation. */
  std::unordered_map<generation_id, request_id> readers;
  /** Buffered text of all requests. */
  std::size_t buffered_bytes = 0;

 private:
  void DisposeAttempt(attempt_id id, attempt_disposition disposition);
  void CheckSend(const send_attempt& send) const;

  answer_checker checker_;
  std::vector<action>* actions_ = nullptr;
  std::vector<request_id> finished_;
};

}  // namespace tarragon::decision

#endif  // TARRAGON_DECISION_ENGINE_CORE_H_
