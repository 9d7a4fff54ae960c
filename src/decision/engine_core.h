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
#include "decision/claim_ledger.h"
#include "decision/endpoint_table.h"
#include "decision/policy_set.h"
#include "decision/request_record.h"
#include "tarragon/base/metrics.h"
#include "tarragon/decision/action.h"
#include "tarragon/decision/engine_options.h"

namespace tarragon::decision {

/** What becomes of the open attempts of a request that finishes. */
enum class leftover : std::uint8_t {
  /** The generation or call is not wanted any more. */
  kCancel,
  /** Only the connection is closed; another request has taken the generation over. */
  kClose,
  /** The call runs on, so that its result can be recorded. */
  kOrphan,
};

/** How a request ends; see `finish_request`. */
struct ending {
  finish_reason reason = finish_reason::kCompleted;
  int status = 200;
  std::string message = {};
  std::chrono::milliseconds retry_after{0};
  std::string engine_reason = {};
  leftover attempts = leftover::kCancel;
};

/** Tables shared by the handlers of one engine, and the steps that keep them consistent. */
class engine_core final {
 public:
  engine_core(engine_options options, std::uint64_t seed, metrics& counters);

  /** Starts the handling of one event. */
  void Begin(time_point now, std::vector<action>& actions);
  /** Drops the records of finished requests. */
  void End();

  /** Appends an action after checking it. */
  void Emit(action what);

  /** @return the new record; the id must not be listed. */
  request_record& Open(const request_facts& facts);

  /** Opens the request of a caller that came back and has the tokens before `next_index`. */
  request_record& OpenResumed(const resume_arrived& event);

  /** @return the request, or null if it has finished or never was. */
  request_record* Find(request_id id);

  /** The single place where requests end: states the verdict and settles attempts and claim. */
  void Finish(request_record& record, ending how);

  /** @return how a request ends whose fingerprint crashed too many endpoints. */
  ending SuspectEnding(const request_record& record) const;

  /** Lists an attempt for the request; the caller emits the send. */
  attempt_record& AddAttempt(request_record& record, attempt_record attempt);

  /** Removes an attempt whose outcome is known. */
  void EndAttempt(request_record& record, attempt_id attempt, run_verdict verdict);

  /** Removes an attempt whose request has finished. */
  void RemoveAttempt(attempt_id attempt);

  /** Asks the endpoint to stop; the slot counts as used until the outcome is observed. */
  void Cancel(attempt_record& attempt);

  /** Makes the request the reader of the generation. */
  void Follow(request_record& record, generation_id generation, std::uint32_t next_index);

  /** @return 128 random bits in lower-case hex. */
  std::string RandomHex();

  /** @return what may have happened at endpoints so far. */
  run_verdict VerdictOf(const request_record& record) const;

  void Count(std::string_view name) { counters.Counter(name).Add(); }

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
  claim_ledger claims;
  std::unordered_map<generation_id, request_id> readers;
  std::size_t held_bytes = 0;

 private:
  void Settle(attempt_id id, leftover how);
  void CheckSend(const send_attempt& send) const;

  answer_checker checker_;
  std::vector<action>* actions_ = nullptr;
  std::vector<request_id> finished_;
};

}  // namespace tarragon::decision

#endif  // TARRAGON_DECISION_ENGINE_CORE_H_
