#ifndef TARRAGON_ROUTING_OVERLOAD_POLICY_H_
#define TARRAGON_ROUTING_OVERLOAD_POLICY_H_

#include <chrono>
#include <optional>
#include <variant>

#include "tarragon/base/clock.h"
#include "tarragon/routing/endpoint_picker.h"

namespace tarragon::routing {

/** A request for which no endpoint has capacity or room. */
struct waiting_request {
  /** Time since the request was received. */
  duration age{0};
  /** Promised time to the response, or to the first event of a stream. */
  duration latency_objective{0};
  /** Time until the deadline. */
  duration remaining{0};
  /** The request may have a long output, which occupies memory for seconds. */
  bool is_long = false;
  /** Time since the last event of a stream that has begun; empty for other requests. */
  std::optional<duration> pause = {};
};

/** Look for an engine with capacity again after `delay`. */
struct wait_for_capacity {
  std::chrono::milliseconds delay{0};
};
/** Give the request up; the caller may come back after `retry_after`. */
struct refuse_for_overload {
  std::chrono::milliseconds retry_after{0};
};
using overload_decision = std::variant<wait_for_capacity, refuse_for_overload>;

/**
 * Decides what becomes of a generation while all engines are full, as after a burst of long
 * prompts. It waits at the daemon rather than in the queue of an engine: it can still go to any
 * engine that gets room, is not lost with an engine that leaves, and does not slow the running
 * generations. Callers give up a stream without a first event at four times the objective, so that
 * a request is refused before, while another try can still succeed.
 * @param point uniform random value in [0, 1), which spreads retries and polls.
 */
overload_decision DecideWithoutCapacity(const waiting_request& request, double point);

/**
 * Decides what becomes of a request while all endpoints that are left have got as many requests as
 * they take by their limits. It waits for room only where that comes soon: the others are refused
 * at once, since limits last for seconds. A stream that has begun would be lost, so that it waits
 * until its caller is about to give up.
 * @param time_to_room estimated time until an endpoint takes one more request.
 * @param point uniform random value in [0, 1), which spreads retries and polls.
 */
overload_decision DecideWithoutRoom(const waiting_request& request,
                                    duration time_to_room,
                                    double point);

/**
 * Decides what becomes of a request while all endpoints that could serve it pause. It waits where
 * the first pause ends in time, and is otherwise refused at once with a time after that end. The
 * requests that wait are spread, so that they do not reach the endpoint in one instant.
 * @param time_to_end shortest time until a pause ends.
 * @param point uniform random value in [0, 1).
 */
overload_decision DecideDuringPause(const waiting_request& request,
                                    duration time_to_end,
                                    double point);

/**
 * Decides what becomes of a request for which no endpoint was picked and no limit is the reason. It
 * is refused at once if all endpoints leave, or pause for too long. After a cooldown, or while new
 * endpoints may come, it waits for half of its objective. A stream that has begun waits until its
 * caller is about to give up.
 */
overload_decision DecideWithoutEndpoint(const pick_result& pick,
                                        const waiting_request& request,
                                        double point);

/**
 * @return share of an engine's memory that the request may fill. Short requests may use what is
 * left by long ones, and requests that can still meet their objective go before those that cannot.
 */
double AllowedMemoryShare(const waiting_request& request);

}  // namespace tarragon::routing

#endif  // TARRAGON_ROUTING_OVERLOAD_POLICY_H_
