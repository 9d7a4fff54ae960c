#ifndef TARRAGON_DECISION_REQUEST_RECORD_H_
#define TARRAGON_DECISION_REQUEST_RECORD_H_

#include <algorithm>
#include <cstdint>
#include <string>
#include <vector>

#include "decision/stream_cursor.h"
#include "tarragon/base/clock.h"
#include "tarragon/base/ids.h"
#include "tarragon/base/run_verdict.h"
#include "tarragon/decision/event.h"
#include "tarragon/document/operating_document.h"

namespace tarragon::decision {

enum class request_phase : std::uint8_t {
  /** The claim of an unrepeatable call is being written. */
  kClaiming,
  kQueued,
  /** At least one attempt is open. */
  kActive,
  /** The caller is gone and may come back to any entry. */
  kDetached,
  kFinished,
};

/** A generation that counts as lost because its endpoint could not be reached. */
struct unreachable_generation {
  endpoint_name endpoint;
  generation_id generation;
  /** Tokens that the caller holds of it; zero once another generation was announced. */
  std::uint32_t delivered = 0;
  /** When a connect to the endpoint failed last. */
  time_point failed_at;
};

/** Everything known of a request that has not finished. */
struct request_record {
  request_facts facts;
  document::request_class rule;
  request_phase phase = request_phase::kQueued;
  time_point arrived;
  /** Latest time to start; moved when a generation that was accepted has to be repeated. */
  time_point deadline;
  time_point last_progress;
  time_point gone_at;
  /** Of the attempts that have ended. */
  run_verdict past_verdict = run_verdict::kNotRun;
  bool accepted_once = false;
  bool announced = false;
  /** The caller holds tokens of a lost generation and has to be told to discard them. */
  bool restart_pending = false;
  bool hedged = false;
  stream_cursor cursor;
  std::vector<attempt_id> attempts;
  /** May still run at endpoints that return, so that they are asked before a repeat is sent. */
  std::vector<unreachable_generation> unreachable;
  /** Endpoints that declined or failed this request since it was queued. */
  std::vector<endpoint_name> avoid;
  std::uint32_t sends = 0;
  /** Most tokens that a generation of this request has produced. */
  std::uint32_t most_tokens = 0;
  account_id account;
  double account_weight = 1;
  /** A repeat is not sent before this time. */
  time_point not_before;
  std::string claim_token;

  bool is_generation() const { return facts.kind == request_kind::kGeneration; }
  bool Avoids(const endpoint_name& endpoint) const {
    return std::ranges::find(avoid, endpoint) != avoid.end();
  }
  bool held() const { return facts.whole_answer || rule.on_loss == document::loss_policy::kHold; }
};

}  // namespace tarragon::decision

#endif  // TARRAGON_DECISION_REQUEST_RECORD_H_
