#ifndef TARRAGON_ROUTING_ADMISSION_ORDER_H_
#define TARRAGON_ROUTING_ADMISSION_ORDER_H_

#include <cstdint>

#include "tarragon/base/clock.h"

namespace tarragon::routing {

/** What decides the place of a request among those that wait for an engine with capacity. */
struct queued_request {
  /** 0 is the most urgent. */
  int priority = 0;
  /** Time since the request was received. */
  duration age{0};
  /** Promised time to the response, or to the first event of a stream. */
  duration latency_objective{0};
  /** Tokens that the client account has in flight at the service from this daemon. */
  std::uint64_t account_tokens = 0;
};

/**
 * Orders requests for which there is too little room by what it costs their callers to wait: a
 * burst of long prompts, or the backlog of one large client account, delays urgent requests
 * otherwise.
 *
 * Requests that can still meet their objective go before those that have missed it; then the more
 * urgent ones; then those of the account with the least work in flight; then the one that misses
 * its objective first. Late requests do not starve, because all wait for a bounded time only, see
 * `DecideWithoutCapacity`.
 *
 * @return whether `a` goes before `b`; a strict weak order.
 */
bool Precedes(const queued_request& a, const queued_request& b);

}  // namespace tarragon::routing

#endif  // TARRAGON_ROUTING_ADMISSION_ORDER_H_
