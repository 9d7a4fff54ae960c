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
  /** The caller disconnected and may reconnect to any entry. */
  kDetached,
  kFinished,
};

/** A generation that counts as lost because its endpoint is unreachable. */
struct unreachable_generation {
  endpoint_name endpoint;
  generation_id generation;
  /** Tokens of the generation that the caller has; zero once another one was announced. */
  std::uint32_t delivered_tokens = 0;
  /** Time of the last failed connect to the endpoint. */
  time_point last_connect_failure;
};

/** State of a request that has not finished. */
struct request_record {
  request_properties properties;
  document::request_class class_settings;
  request_phase phase = request_phase::kQueued;
  time_point arrived;
  /** Latest time to start. Extended when an accepted generation has to be repeated. */
  time_point deadline;
  time_point last_progress;
  time_point disconnected_at;
  /** Combined verdict of the attempts that have ended. */
  run_verdict past_verdict = run_verdict::kNotRun;
  bool accepted_once = false;
  bool stream_announced = false;
  /** The caller has tokens of a lost generation that the next `restart_stream` discards. */
  bool restart_pending = false;
  bool hedged = false;
  stream_cursor cursor;
  std::vector<attempt_id> attempts;
  /** Generations that may still run. Their endpoints are checked before a retry is sent. */
  std::vector<unreachable_generation> unreachable_generations;
  /** Endpoints that declined or failed this request since it was queued. */
  std::vector<endpoint_name> avoided_endpoints;
  std::uint32_t send_count = 0;
  /** Largest number of tokens that any generation of this request has produced. */
  std::uint32_t max_tokens_produced = 0;
  account_id account;
  double account_weight = 1;
  /** Earliest time for a retry. */
  time_point not_before;
  std::string claim_token;

  bool is_generation() const { return properties.kind == request_kind::kGeneration; }
  bool Avoids(const endpoint_name& endpoint) const {
    return std::ranges::find(avoided_endpoints, endpoint) != avoided_endpoints.end();
  }
  /** @return whether the response is buffered until it is complete. */
  bool buffers_response() const {
    return properties.buffered_response || class_settings.on_loss == document::loss_policy::kHold;
  }
};

}  // namespace tarragon::decision

#endif  // TARRAGON_DECISION_REQUEST_RECORD_H_
