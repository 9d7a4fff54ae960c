#ifndef TARRAGON_DECISION_ACTION_H_
#define TARRAGON_DECISION_ACTION_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <variant>

#include "tarragon/base/ids.h"
#include "tarragon/base/run_verdict.h"

namespace tarragon::decision {

/** Sends the request body to an endpoint, as a new generation or service call. */
struct send_attempt {
  request_id request;
  attempt_id attempt;
  endpoint_name endpoint;
  /** Empty for calls to plain services. */
  generation_id generation;
  /** Priority that the model engine receives; lower values are served first. */
  int priority = 0;
};

/** Reads a generation that an endpoint runs or still stores, starting at `from_index`. */
struct resume_attempt {
  request_id request;
  attempt_id attempt;
  endpoint_name endpoint;
  generation_id generation;
  std::uint32_t from_index = 0;
};

/** Asks the endpoint to stop the attempt; the outcome returns as `cancel_observed`. */
struct cancel_attempt {
  attempt_id attempt;
  endpoint_name endpoint;
  generation_id generation;
};

/**
 * Closes the connection of an attempt without stopping its generation. Later events of the attempt
 * are ignored.
 */
struct close_attempt {
  attempt_id attempt;
};

/**
 * Tells the caller's connection which generation its tokens come from, before the first token. If
 * that generation is lost before any token was delivered, the action is emitted again with the
 * replacement; the last one applies.
 */
struct start_stream {
  request_id request;
  endpoint_name endpoint;
  generation_id generation;
};

/** Passes one token of a generation to the caller. */
struct deliver_token {
  request_id request;
  generation_id generation;
  std::uint32_t index = 0;
  std::string text;
};

/** Tells the caller to discard all tokens received so far; `generation` starts at index 0. */
struct restart_stream {
  request_id request;
  endpoint_name endpoint;
  generation_id generation;
};

/** Passes the response of a plain service to the caller. */
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
  kOverRateLimit,
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

/** Ends a request; no action for the request follows. */
struct finish_request {
  request_id request;
  /** Whether the request ran at any endpoint. */
  run_verdict verdict = run_verdict::kMayHaveRun;
  finish_reason reason = finish_reason::kCompleted;
  /** HTTP status to send if the response to the caller has not started. */
  int status = 200;
  /** Finish reason that the endpoint reported for the generation, such as `stop` or `length`. */
  std::string engine_reason;
  std::string message;
  std::chrono::milliseconds retry_after{0};
};

/**
 * Claims an idempotency key by a conditional write of its row in the claim table. The result
 * returns as `claim_answered`.
 */
struct write_claim {
  request_id request;
  std::string account;
  std::string key;
  std::string claim_token;
  fingerprint request_fingerprint;
};

/** Stores the result of the call in its claim row; the write is repeated until it succeeds. */
struct complete_claim {
  std::string account;
  std::string key;
  std::string claim_token;
  int status = 0;
  std::string body;
};

/** Deletes the claim of a call that did not run at any endpoint. */
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
