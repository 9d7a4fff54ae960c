#ifndef TARRAGON_ROUTING_RECOVERY_PLANNER_H_
#define TARRAGON_ROUTING_RECOVERY_PLANNER_H_

#include <chrono>
#include <cstdint>
#include <variant>

#include "tarragon/base/run_verdict.h"
#include "tarragon/routing/service_config.h"

namespace tarragon::routing {

/** Why a send to an endpoint did not end with a complete successful answer. */
enum class send_failure : std::uint8_t {
  kConnectFailed,
  /** The endpoint stated that it did not run the request. */
  kDeclined,
  /** The connection ended before the answer was complete. */
  kConnectionLost,
  /** The endpoint sent no bytes for longer than allowed. */
  kSilent,
  /** The endpoint's bytes are not a valid answer to the request. */
  kBadAnswer,
  /** A complete answer with a status of 500 or above. */
  kFailureStatus,
};

/** State of one request on which the step after a failed send depends. */
struct request_progress {
  repeat_kind kind = repeat_kind::kUnsafe;
  /** The stream may be continued at another endpoint after its last event. */
  bool resumable = false;
  /** Sends so far that an endpoint may have run. */
  int possible_runs = 0;
  int max_attempts = 1;
  /** Sends that reached an endpoint since the answer last made progress. */
  int sends = 0;
  /** Connects that failed since the answer last made progress. */
  int failed_connects = 0;
  /** Part of the answer has been sent to the caller. */
  bool answer_started = false;
  /** Another engine holds a copy of the generation's KV cache. */
  bool has_copy = false;
  /** The retry budget of the service allows one more send. */
  bool budget_left = false;
  /** Time until the deadline of the caller or the timeout of the route. */
  std::chrono::milliseconds remaining_time{0};
  /** The request is quarantined, because such requests crash endpoints. */
  bool is_suspect = false;
};

/** Send the whole request to an endpoint that has not received it. */
struct send_elsewhere {};
/** Continue the stream after its last event from the copy of its KV cache. */
struct resume_from_copy {};
/** Continue the stream after its last event at another engine, which repeats the prefill. */
struct resume_elsewhere {};
/** Pass the endpoint's failure response on to the caller. */
struct relay_failure {};
/** Answer that the request has not run and will not run. */
struct refuse {};
/** Answer that the outcome is unknown. */
struct answer_unknown {};
/** Close the caller's connection: part of the answer was sent and the rest is lost. */
struct break_off {};

using next_step = std::variant<send_elsewhere,
                               resume_from_copy,
                               resume_elsewhere,
                               relay_failure,
                               refuse,
                               answer_unknown,
                               break_off>;

/**
 * Decides what follows a failed send. A step that sends the request again is returned only if the
 * request's kind, `max_attempts`, the retry budget and the remaining time allow it.
 * @param verdict whether an endpoint may have run the request in this send or an earlier one.
 */
next_step PlanRecovery(const request_progress& progress, send_failure failure, run_verdict verdict);

}  // namespace tarragon::routing

#endif  // TARRAGON_ROUTING_RECOVERY_PLANNER_H_
