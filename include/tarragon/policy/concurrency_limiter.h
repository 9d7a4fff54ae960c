#ifndef TARRAGON_POLICY_CONCURRENCY_LIMITER_H_
#define TARRAGON_POLICY_CONCURRENCY_LIMITER_H_

#include <cstdint>
#include <vector>

#include "tarragon/base/clock.h"
#include "tarragon/policy/endpoint_index.h"

namespace tarragon::policy {

enum class work_length : std::uint8_t { kShort, kLong };

/** Requests in flight at one endpoint, of all entries as far as known. */
struct endpoint_in_flight {
  std::uint32_t total = 0;
  /** Part of `total` that is predicted to be long. */
  std::uint32_t long_work = 0;
};

struct concurrency_limiter_options {
  double initial_limit = 8;
  double min_limit = 1;
  double max_limit = 1024;
  /** Part of each limit that only short work may use. */
  double short_share = 0.2;
  /** Latency relative to the unloaded latency up to which the limit still rises. */
  double tolerance = 2;
};

/**
 * Limits the requests in flight per endpoint. The limit rises while the observed latency stays
 * close to the lowest one, falls in proportion when it grows and by a tenth when the endpoint
 * declines, and never passes the reported slots.
 */
class concurrency_limiter final {
 public:
  explicit concurrency_limiter(concurrency_limiter_options options = {});

  /** @param slots requests that the endpoint says it runs at once; 0 if unknown. */
  void SetSlots(endpoint_index endpoint, std::uint32_t slots);

  /** @return whether one more request may be sent. */
  bool Admits(endpoint_index endpoint, endpoint_in_flight in_flight, work_length length) const;

  /**
   * @param latency time to the first token or, for calls, to the answer.
   * @param in_flight total at the endpoint when the request was sent. The limit rises only if at
   *     least half of it was used, as an idle endpoint says nothing of a higher limit.
   */
  void RecordLatency(endpoint_index endpoint, duration latency, std::uint32_t in_flight);

  /** The endpoint declined a request as full. */
  void RecordDecline(endpoint_index endpoint);

  /** Forgets what was learned, for an endpoint that restarted or an index that is reused. */
  void Reset(endpoint_index endpoint);

  std::uint32_t Limit(endpoint_index endpoint) const;
  /** @return part of the limit open to long work; at least 1. */
  std::uint32_t LongLimit(endpoint_index endpoint) const;

  void Validate() const;

 private:
  struct endpoint_limit {
    double limit = 0;
    std::uint32_t slots = 0;
    double lowest_seconds = 0;
    double recent_seconds = 0;
  };

  endpoint_limit& Get(endpoint_index endpoint);
  double Cap(const endpoint_limit& state) const;
  std::uint32_t LimitOf(const endpoint_limit& state) const;

  concurrency_limiter_options options_;
  std::vector<endpoint_limit> endpoints_;
};

}  // namespace tarragon::policy

#endif  // TARRAGON_POLICY_CONCURRENCY_LIMITER_H_
