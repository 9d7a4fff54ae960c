#ifndef TARRAGON_DECISION_ACTION_H_
#define TARRAGON_DECISION_ACTION_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <variant>

#include "tarragon/base/ids.h"
#include "tarragon/base/run_verdict.h"

namespace tarragon::decision {

/** Sends the request's body to an endpoint under a new generation. */
struct send_attempt {
  request_id request;
  attempt_id attempt;
  endpoint_name endpoint;
  /** Empty for calls to plain services. */
  generation_id generation;
  /** Priority for the engine; lower is served first. */
  int priority = 0;
};

/** Attaches to a generation that is running or kept at an endpoint. */
struct resume_attempt {
  request_id request;
  attempt_id attempt;
  endpoint_name endpoint;
  generation_id generation;
  std::uint32_t from_index = 0;
};

/** Asks the endpoint to stop; the outcome comes back as `cancel_observed`. */
struct cancel_attempt {
  attempt_id attempt;
  endpoint_name endpoint;
  generation_id generation;
};

/**
 * Closes the connection of an attempt without stopping its generation. The attempt's later events
 * are ignored.
 */
struct close_attempt {
  attempt_id attempt;
};

/**
 * Tells the caller's connection which generation answers it, before the first token. Repeated with
 * another generation if the first one is lost before any token was delivered; the last one counts.
 */
struct start_stream {
  request_id request;
  endpoint_name endpoint;
  generation_id generation;
};

struct deliver_token {
  request_id request;
  generation_id generation;
  std::uint32_t index = 0;
  std::string text;
};

/** The client has to discard all tokens so far; `generation` starts at index 0. */
struct restart_stream {
  request_id request;
  endpoint_name endpoint;
  generation_id generation;
};

/** Passes the answer of a plain service to the caller. */
struct deliver_response {
  request_id request;
  int status = 0;
  std::string content_type;
  std::string body;
};

enum class finish_reason : std::uint8_t {
  kCompleted,
  kQueueFull,
  kDeadline,
  kOverLimit,
  kNoEndpoint,
  kDraining,
  kLost,
  kCancelled,
  kRefusedByEndpoint,
  kSuspectRefused,
  kClaimHeld,
  kClaimUnavailable,
  kInvalid,
};

/** Last action of a request. */
struct finish_request {
  request_id request;
  run_verdict verdict = run_verdict::kMayHaveRun;
  finish_reason reason = finish_reason::kCompleted;
  /** HTTP status for an answer that has not started yet. */
  int status = 200;
  /** The endpoint's word for the end of a generation, such as `stop` or `length`. */
  std::string engine_reason;
  std::string message;
  std::chrono::milliseconds retry_after{0};
};

/** Writes the claim row conditionally; the answer comes back as `claim_answered`. */
struct write_claim {
  request_id request;
  std::string account;
  std::string key;
  std::string claim_token;
  fingerprint content;
};

/** Records the result under the claim, until it is written. */
struct complete_claim {
  std::string account;
  std::string key;
  std::string claim_token;
  int status = 0;
  std::string body;
};

/** Deletes a claim of which no attempt ran. */
struct release_claim {
  std::string account;
  std::string key;
  std::string claim_token;
};

using action = std::variant<send_attempt,
                            resume_attempt,
                            cancel_attempt,
                            close_attempt,
                            start_stream,
                            deliver_token,
                            restart_stream,
                            deliver_response,
                            finish_request,
                            write_claim,
                            complete_claim,
                            release_claim>;

}  // namespace tarragon::decision

#endif  // TARRAGON_DECISION_ACTION_H_
