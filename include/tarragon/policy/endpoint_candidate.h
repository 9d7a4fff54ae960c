#ifndef TARRAGON_POLICY_ENDPOINT_CANDIDATE_H_
#define TARRAGON_POLICY_ENDPOINT_CANDIDATE_H_

#include <chrono>
#include <cstdint>

namespace tarragon::policy {

/** What an entry knows of one endpoint when it chooses where to send a request. */
struct endpoint_candidate {
  /** False for endpoints that must not be chosen; the other fields are then unused. */
  bool eligible = true;
  /** The endpoint is believed to hold the request's prefix in its cache. */
  bool prefix_hit = false;
  /** Own requests in flight now, counted from the offer. */
  std::uint32_t own_in_flight = 0;
  /**
   * Own requests that were in flight when the report was measured, from `in_flight_history`. They
   * are part of the reported load and are replaced by `own_in_flight`.
   */
  std::uint32_t own_in_flight_at_report = 0;
  /** Requests in flight of all other entries, by gossip. */
  std::uint32_t peer_in_flight = 0;
  std::uint32_t reported_running = 0;
  std::uint32_t reported_waiting = 0;
  /** Requests that the endpoint runs at once; 0 if it has not reported yet. */
  std::uint32_t slots = 0;
  /** Time since the report was measured. */
  std::chrono::nanoseconds report_age{0};
  /** Predicted peak memory in tokens, from `memory_ledger`. */
  std::uint64_t memory_reserved = 0;
  /** 0 if the endpoint has no memory limit or has not reported yet. */
  std::uint64_t memory_total = 0;
  /** Slowness relative to the peers from `outlier_detector`; 1 is normal, more is slower. */
  double latency_factor = 1;
};

}  // namespace tarragon::policy

#endif  // TARRAGON_POLICY_ENDPOINT_CANDIDATE_H_
