#ifndef TARRAGON_POLICY_ENDPOINT_CANDIDATE_H_
#define TARRAGON_POLICY_ENDPOINT_CANDIDATE_H_

#include <chrono>
#include <cstdint>

namespace tarragon::policy {

/** State of one endpoint, as known to the entry that selects an endpoint for a request. */
struct endpoint_candidate {
  /** False if the endpoint must not be selected; the other fields are then unused. */
  bool eligible = true;
  /** The endpoint probably holds the prefix of the request in its KV cache. */
  bool prefix_hit = false;
  /** This entry's requests in flight now, counted from when they are sent. */
  std::uint32_t own_in_flight = 0;
  /**
   * This entry's requests that were in flight when the load report was measured, from
   * `in_flight_history`. They are subtracted from the reported load; `own_in_flight` is added.
   */
  std::uint32_t own_in_flight_at_report = 0;
  /** Requests in flight from all other entries, known by gossip. */
  std::uint32_t peer_in_flight = 0;
  std::uint32_t reported_running = 0;
  std::uint32_t reported_waiting = 0;
  /** Number of requests that the endpoint runs at once; 0 if it has not reported yet. */
  std::uint32_t slots = 0;
  /** Time since the load report was measured. */
  std::chrono::nanoseconds report_age{0};
  /** Predicted peak memory in tokens, from `memory_ledger`. */
  std::uint64_t memory_reserved = 0;
  /** Memory limit in tokens; 0 if the endpoint has none or has not reported yet. */
  std::uint64_t memory_total = 0;
  /** Latency relative to the other endpoints, from `outlier_detector`; 1 is normal. */
  double latency_factor = 1;
};

}  // namespace tarragon::policy

#endif  // TARRAGON_POLICY_ENDPOINT_CANDIDATE_H_
