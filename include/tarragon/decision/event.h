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

/** What the engine needs to know of a request; its body stays with the caller's connection. */
struct request_facts {
  request_id request;
  request_kind kind = request_kind::kGeneration;
  /** Name of the client account; already authenticated. */
  std::string account;
  /** Name of the service in the document. */
  std::string service;
  /** Name of the request class in the document. */
  std::string request_class;
  std::uint32_t prompt_tokens = 0;
  /** Caller's bound on the output; 0 if none was given. */
  std::uint32_t max_tokens = 0;
  /** Hash of the start of the prompt, for prefix affinity; 0 if unknown. */
  std::uint64_t prefix_hash = 0;
  fingerprint content;
  time_point deadline;
  /** The answer is delivered as one body, so no token is visible before the end. */
  bool whole_answer = false;
  /** The call may run any number of times. False needs an idempotency key. */
  bool repeatable = true;
  std::string idempotency_key;
};

/** A new request from a caller. */
struct request_arrived {
  request_facts facts;
};

/** The caller's connection is closed; it may come back with its ticket. */
struct caller_gone {
  request_id request;
};

/**
 * A caller is back, at this or another entry, with a verified ticket. `facts.request` is the id of
 * the new connection's request.
 */
struct resume_arrived {
  request_facts facts;
  endpoint_name endpoint;
  generation_id generation;
  /** Index of the first token that the caller has not received. */
  std::uint32_t next_index = 0;
};

/** The endpoint took the attempt (response header received). */
struct attempt_accepted {
  attempt_id attempt;
};

/** The endpoint said that it did not take the attempt. */
struct attempt_declined {
  attempt_id attempt;
  std::chrono::milliseconds retry_after{0};
  /** True if the endpoint will never take this request. */
  bool permanent = false;
  std::string message;
};

struct token_received {
  attempt_id attempt;
  generation_id generation;
  std::uint32_t index = 0;
  std::string text;
};

/** A plain service answered the call. */
struct response_received {
  attempt_id attempt;
  int status = 0;
  std::string content_type;
  std::string body;
};

/** Finish reason of a generation that ended because of a cancel. */
inline constexpr std::string_view kCancelledFinishReason = "cancelled";

/** The endpoint reported the end of the generation. */
struct attempt_finished {
  attempt_id attempt;
  /** Tokens of the whole generation: the last index plus one. */
  std::uint32_t token_count = 0;
  std::string finish_reason;
};

enum class failure_cause : std::uint8_t {
  /** No connection was made, so no byte was sent. */
  kConnectFailed,
  /** The connection ended before the answer did. */
  kConnectionLost,
  /** No byte arrived within the keep-alive time-out. */
  kSilent,
  /** The endpoint does not know the generation that was to be resumed. */
  kGenerationUnknown,
  /** The endpoint answered with something other than the protocol. */
  kBadAnswer,
};

struct attempt_failed {
  attempt_id attempt;
  run_verdict verdict = run_verdict::kMayHaveRun;
  failure_cause cause = failure_cause::kConnectionLost;
};

/** Outcome of a cancel as observed at the endpoint. */
struct cancel_observed {
  attempt_id attempt;
  bool stopped = false;
};

enum class claim_state : std::uint8_t {
  /** The row carries this request's claim token. */
  kWon,
  /** Another request holds the key and has not completed. */
  kHeldByOther,
  /** Another request completed under this key; its result is in `recorded`. */
  kCompleted,
  /** The table certainly holds no claim of this request. */
  kUnavailable,
  /** It is not known whether the claim was written. */
  kUnknown,
};

/** Answer to `write_claim`, after reading back if the first answer was lost. */
struct claim_answered {
  request_id request;
  claim_state state = claim_state::kUnknown;
  int recorded_status = 0;
  std::string recorded_body;
};

/** An endpoint's own report of its load, measured `age` before it arrived. */
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

/** Prefix hashes that an endpoint stored or evicted; `gap` means that events were missed. */
struct cache_changed {
  endpoint_name endpoint;
  std::vector<std::uint64_t> stored;
  std::vector<std::uint64_t> evicted;
  bool gap = false;
};

struct document_changed {
  document::document_ptr document;
};

/** Endpoints that the platform's list shows as leaving. */
struct vm_list_changed {
  std::vector<endpoint_name> leaving;
};

struct endpoint_count {
  std::uint32_t endpoint_hash = 0;
  std::uint16_t in_flight = 0;
};

struct account_usage {
  account_id account;
  /** Requests per second, over the last few seconds. */
  float requests_per_second = 0;
};

struct suspect_report {
  fingerprint content;
  std::uint8_t deaths = 0;
  /** Part of `deaths` that a later completion cleared. */
  std::uint8_t cleared = 0;
};

/** Counts of one VM, sent to the others by gossip. */
struct peer_state {
  std::vector<endpoint_count> endpoints;
  std::vector<account_usage> accounts;
  std::vector<suspect_report> suspects;
  /** XXH3 hashes of generations that a returning caller attached to at this VM. */
  std::vector<std::uint64_t> adopted;
};

struct peer_state_received {
  std::string vm;
  peer_state state;
};

/** The VM was declared dead or has left: its counts no longer apply. */
struct peer_lost {
  std::string vm;
};

/** Time has passed. Sent at least every 50 ms. */
struct tick {};

/** Shutdown was requested: refuse new requests, finish the others. */
struct drain_started {};

using event = std::variant<request_arrived,
                           caller_gone,
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
