#ifndef TARRAGON_BENCH_POLICY_CANDIDATE_LIST_H_
#define TARRAGON_BENCH_POLICY_CANDIDATE_LIST_H_

#include <random>
#include <vector>

#include "tarragon/policy/endpoint_candidate.h"

namespace tarragon::policy {

/** @return `count` endpoints under random load, one in ten of them excluded. */
inline std::vector<endpoint_candidate> MakeCandidates(std::size_t count) {
  std::mt19937_64 random(1);
  const auto below = [&random](std::uint32_t bound) {
    return std::uniform_int_distribution<std::uint32_t>(0, bound - 1)(random);
  };
  std::vector<endpoint_candidate> candidates(count);
  for (endpoint_candidate& candidate : candidates) {
    candidate = {.eligible = below(10) != 0,
                 .prefix_hit = below(20) == 0,
                 .own_in_flight = below(4),
                 .own_in_flight_at_report = below(4),
                 .peer_in_flight = below(20),
                 .reported_running = below(24),
                 .reported_waiting = below(4),
                 .slots = 24,
                 .report_age = std::chrono::milliseconds(below(5000)),
                 .memory_reserved = below(100000),
                 .memory_total = 100000,
                 .latency_factor = 1 + 0.1 * below(10)};
  }
  return candidates;
}

}  // namespace tarragon::policy

#endif  // TARRAGON_BENCH_POLICY_CANDIDATE_LIST_H_
