#ifndef TARRAGON_DECISION_EVENT_H_
#define TARRAGON_DECISION_EVENT_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "tarragon/base/clock.h"
#include "tarragon/base/ids.h"
#include "tarragon/base/run_verdict.h"
#include "tarragon/document/operating_document.h"

namespace tarragon::decision {

enum class request_kind : std::uint8_t { kGeneration, kServiceCall };

/** Properties of a request that decisions use; the body stays with the caller's connection. */
struct request_properties {
  request_id request;
  request_kind kind = request_kind::kGeneration;
  /** Name of the authenticated client account. */
  std::string account;
  /** Name of the service in the document. */
  std::string service;
  /** Name of the request class in the document. */
  std::string request_class;
  std::uint32_t prompt_tokens = 0;
  /** Bound on the output length that the caller set; 0 if none. */
  std::uint32_t max_tokens = 0;
  /** Hash of the start of the prompt, for prefix affinity; 0 if unknown. */
  std::uint64_t prefix_hash = 0;
  /** Hash that identifies equal requests, for crash suspects and idempotency claims. */
  fingerprint request_fingerprint;
  time_point deadline;
  /** The response is delivered as one body, so the caller sees no token before the end. */
  bool buffered_response = false;
  /** The request may run any number of times. If false, it needs an idempotency key. */
  bool repeatable = true;
  std::string idempotency_key;
};

/** A new request from a caller. */
struct request_arrived {
  request_properties properties;
};

/** The caller disconnected or was dropped; it may reconnect with its resumption ticket. */
struct caller_disconnected {
  request_id request;
};

/**
 * A caller reconnected, to the same or another entry, with a verified resumption ticket.
 * `properties.request` is the id of the request on the new connection.
 */
struct resume_arrived {
  request_properties properties;
  endpoint_name endpoint;
  generation_id generation;
  /** Index of the first token that the caller has not received. */
  std::uint32_t next_index = 0;
};

/** The endpoint accepted the attempt: its response header arrived. */
struct attempt_accepted {
  attempt_id attempt;
};

/** The endpoint answered that it did not accept the attempt. */
struct attempt_declined {
  attempt_id attempt;
  std::chrono::milliseconds retry_after{0};
  /** True if a retry of the same request cannot be accepted. */
  bool permanent = false;
  std::string message;
};

/** One token of a generation arrived. */
struct token_received {
  attempt_id attempt;
  generation_id generation;
  std::uint32_t index = 0;
  std::string text;
};

/** The response of a plain service arrived. */
struct response_received {
  attempt_id attempt;
  int status = 0;
  std::string content_type;
  std::string body;
};

/** Finish reason of a generation that was cancelled. */
inline constexpr std::string_view kCancelledFinishReason = "cancelled";

/** The endpoint reported the end of the generation. */
struct attempt_finished {
  attempt_id attempt;
  /** Number of tokens in the whole generation: the last index plus one. */
  std::uint32_t token_count = 0;
  std::string finish_reason;
};

enum class failure_cause : std::uint8_t {
  /** No connection was made, so no byte was sent. */
  kConnectFailed,
  /** The connection closed before the response was complete. */
  kConnectionLost,
  /** No byte arrived within the keep-alive timeout. */
  kSilent,
  /** The endpoint does not know the generation to resume. */
  kGenerationUnknown,
  /** The response violates the protocol. */
  kBadAnswer,
};

/** The attempt ended without a complete response. */
struct attempt_failed {
  attempt_id attempt;
  run_verdict verdict = run_verdict::kMayHaveRun;
  failure_cause cause = failure_cause::kConnectionLost;
};

/** The endpoint's response to `cancel_attempt`. */
struct cancel_observed {
  attempt_id attempt;
  bool stopped = false;
};

/** Result of claiming an idempotency key. */
enum class claim_state : std::uint8_t {
  /** The row contains the claim token of this request. */
  kWon,
  /** Another request holds the key and has not completed. */
  kHeldByOther,
  /** Another request completed under this key; `recorded_*` hold its result. */
  kCompleted,
  /** The table is unavailable and certainly contains no claim of this request. */
  kUnavailable,
  /** It is not known whether the claim was written. */
  kUnknown,
};

/** Result of `write_claim`. If the reply to the write was lost, the row was read back first. */
struct claim_answered {
  request_id request;
  claim_state state = claim_state::kUnknown;
  int recorded_status = 0;
  std::string recorded_body;
};

/** Load that an endpoint reported, measured `age` before the report arrived. */
struct load_reported {
  endpoint_name endpoint;
  std::chrono::milliseconds age{0};
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
  std::uint32_t slots = 0;
  std::uint64_t memory_tokens_total = 0;
  std::uint64_t memory_tokens_used = 0;
  std::uint64_t preemptions = 0;
  std::string model;
  std::string model_version;
  bool leaving = false;
};

/** Prefix hashes that an endpoint stored in or evicted from its KV cache. */
struct cache_changed {
  endpoint_name endpoint;
  std::vector<std::uint64_t> stored;
  std::vector<std::uint64_t> evicted;
  /** Cache events of the endpoint were missed. */
  bool gap = false;
};

/** A new version of the operating document takes effect. */
struct document_changed {
  document::document_ptr document;
};

/** The platform's VM list was read; `leaving` names all endpoints that it marks as leaving. */
struct vm_list_changed {
  std::vector<endpoint_name> leaving;
};

/** Requests that one entry has in flight at an endpoint. */
struct endpoint_count {
  std::uint32_t endpoint_hash = 0;
  std::uint16_t in_flight = 0;
};

/** Request rate of a client account at one entry. */
struct account_usage {
  account_id account;
  /** Averaged over the last few seconds. */
  float requests_per_second = 0;
};

/** Endpoint crashes that occurred while a request with this fingerprint was in flight. */
struct suspect_report {
  fingerprint request_fingerprint;
  std::uint8_t crashes = 0;
  /** Number of `crashes` that a later completion of the request cleared. */
  std::uint8_t cleared = 0;
};

/** State that one VM sends to the others by gossip. */
struct peer_state {
  std::vector<endpoint_count> endpoints;
  std::vector<account_usage> accounts;
  std::vector<suspect_report> suspects;
  /** XXH3 hashes of generations that callers resumed at this VM. */
  std::vector<std::uint64_t> adopted;
};

struct peer_state_received {
  std::string vm;
  peer_state state;
};

/** The VM was declared dead or has left, so its counts no longer apply. */
struct peer_lost {
  std::string vm;
};

/** Runs timers. Sent at least every 50 ms. */
struct tick {};

/** Shutdown was requested: new requests are refused, open ones are completed. */
struct drain_started {};

using event = std::variant<request_arrived,
                           caller_disconnected,
                           resume_arrived,
                           attempt_accepted,
                           attempt_declined,
                           token_received,
                           response_received,
                           attempt_finished,
                           attempt_failed,
                           cancel_observed,
                           claim_answered,
                           load_reported,
                           cache_changed,
                           document_changed,
                           vm_list_changed,
                           peer_state_received,
                           peer_lost,
                           tick,
                           drain_started>;

}  // namespace tarragon::decision

#endif  // TARRAGON_DECISION_EVENT_H_
