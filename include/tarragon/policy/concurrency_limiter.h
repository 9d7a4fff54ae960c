#ifndef TARRAGON_POLICY_CONCURRENCY_LIMITER_H_
#define TARRAGON_POLICY_CONCURRENCY_LIMITER_H_

#include <cstdint>
#include <vector>

#include "tarragon/base/clock.h"
#include "tarragon/policy/endpoint_index.h"

namespace tarragon::policy {

enum class request_length : std::uint8_t { kShort, kLong };

/** Requests in flight at one endpoint, from all entries as far as known. */
struct endpoint_in_flight {
  std::uint32_t total = 0;
  /** Number of requests in `total` that are predicted to be long. */
  std::uint32_t long_requests = 0;
};

struct concurrency_limiter_options {
  double initial_limit = 8;
  double min_limit = 1;
  double max_limit = 1024;
  /** Share of each limit that is reserved for short requests. */
  double short_share = 0.2;
  /** Ratio of the recent latency to the lowest one up to which the limit is not reduced. */
  double latency_tolerance = 2;
};

/**
 * Limits the requests in flight per endpoint. The limit rises while the recent latency stays close
 * to the lowest one, falls in proportion as the latency grows, falls by 10% when the endpoint
 * declines a request, and never exceeds the reported slots.
 */
class concurrency_limiter final {
 public:
  explicit concurrency_limiter(concurrency_limiter_options options = {});

  /** @param slots number of requests that the endpoint reports it runs at once; 0 if unknown. */
  void SetSlots(endpoint_index endpoint, std::uint32_t slots);

  /** @return whether one more request of this length may be sent. */
  bool CanAdmit(endpoint_index endpoint, endpoint_in_flight in_flight, request_length length) const;

  /**
   * @param latency time to first token or, for calls, to the response.
   * @param in_flight total at the endpoint when the request was sent. The limit rises only if at
   *     least half of it was in use, because an idle endpoint is no evidence for a higher limit.
   */
  void RecordLatency(endpoint_index endpoint, duration latency, std::uint32_t in_flight);

  /** Records that the endpoint declined a request because it is full. */
  void RecordDecline(endpoint_index endpoint);

  /** Discards all observations, when an endpoint restarted or its index is reused. */
  void Reset(endpoint_index endpoint);

  std::uint32_t Limit(endpoint_index endpoint) const;
  /** @return number of long requests that the limit allows; at least 1. */
  std::uint32_t LongLimit(endpoint_index endpoint) const;

  void Validate() const;

 private:
  struct endpoint_limit {
    double limit = 0;
    std::uint32_t slots = 0;
    double lowest_latency_s = 0;
    double recent_latency_s = 0;
  };

  endpoint_limit& GetOrAddEndpoint(endpoint_index endpoint);
  double MaxLimit(const endpoint_limit& state) const;
  std::uint32_t EffectiveLimit(const endpoint_limit& state) const;

  concurrency_limiter_options options_;
  std::vector<endpoint_limit> endpoints_;
};

}  // namespace tarragon::policy

#endif  // TARRAGON_POLICY_CONCURRENCY_LIMITER_H_
