#ifndef TARRAGON_ROUTING_RECOVERY_PLANNER_H_
#define TARRAGON_ROUTING_RECOVERY_PLANNER_H_

#include <chrono>
#include <cstdint>
#include <variant>

#include "tarragon/base/run_verdict.h"
#include "tarragon/routing/service_config.h"

namespace tarragon::routing {

/** Why a send to an endpoint did not end with the answer. */
enum class send_failure : std::uint8_t {
  kConnectFailed,
  /** The endpoint said that it did not run the request. */
  kDeclined,
  /** The connection ended before the answer did. */
  kLost,
  /** Nothing arrived for too long. */
  kSilent,
  /** The bytes are no answer to this request. */
  kBadAnswer,
  /** A complete answer with a status of 500 or above. */
  kFailureStatus,
};

/** Facts about one request that decide what follows a failed send. */
struct request_progress {
  repeat_kind kind = repeat_kind::kUnsafe;
  /** A stream may be continued behind its last event. */
  bool resumable = false;
  /** Sends so far that may have run. */
  int runs = 0;
  int max_attempts = 1;
  /** Sends that reached an endpoint since the answer last made progress. */
  int sends = 0;
  /** Connects that failed since the answer last made progress. */
  int failed_connects = 0;
  /** Part of the answer has reached the caller. */
  bool answer_started = false;
  /** Another engine holds a copy of the generation's memory. */
  bool has_copy = false;
  /** The retry budget of the service allows one more send. */
  bool budget_left = false;
  /** Time until the caller or the route gives up. */
  std::chrono::milliseconds left{0};
  /** Too many endpoints have died while they ran this request. */
  bool suspect = false;
};

/** Send the whole request to an endpoint that has not had it. */
struct send_elsewhere {};
/** Continue the stream behind its last event from the copy of its memory. */
struct resume_from_copy {};
/** Continue the stream behind its last event; the prompt is read again. */
struct resume_elsewhere {};
/** Pass on the endpoint's own failure. */
struct relay_failure {};
/** Answer that the request has not run and will not. */
struct refuse {};
/** Answer that the outcome is unknown. */
struct answer_unknown {};
/** End the caller's connection, since part of the answer is out and cannot be completed. */
struct break_off {};

using next_step = std::variant<send_elsewhere,
                               resume_from_copy,
                               resume_elsewhere,
                               relay_failure,
                               refuse,
                               answer_unknown,
                               break_off>;

/**
 * Decides what follows a failed send. A step that repeats a request is only returned where that is
 * allowed: by the kind of request, `max_attempts`, the budget, and the time left.
 * @param verdict whether the failed send, or one before it, may have run.
 */
next_step PlanRecovery(const request_progress& progress, send_failure failure, run_verdict verdict);

}  // namespace tarragon::routing

#endif  // TARRAGON_ROUTING_RECOVERY_PLANNER_H_
