#ifndef TARRAGON_BENCH_POLICY_CANDIDATE_LIST_H_
#define TARRAGON_BENCH_POLICY_CANDIDATE_LIST_H_

#include <random>
#include <vector>

#include "tarragon/policy/endpoint_candidate.h"

namespace tarragon::policy {

/** @return `count` endpoints with random load, of which about one in ten is not eligible. */
inline std::vector<endpoint_candidate> MakeCandidates(std::size_t count) {
  std::mt19937_64 random(1);
  const auto random_below = [&random](std::uint32_t bound) {
    return std::uniform_int_distribution<std::uint32_t>(0, bound - 1)(random);
  };
  std::vector<endpoint_candidate> candidates(count);
  for (endpoint_candidate& candidate : candidates) {
    candidate = {.eligible = random_below(10) != 0,
                 .prefix_hit = random_below(20) == 0,
                 .own_in_flight = random_below(4),
                 .own_in_flight_at_report = random_below(4),
                 .peer_in_flight = random_below(20),
                 .reported_running = random_below(24),
                 .reported_waiting = random_below(4),
                 .slots = 24,
                 .report_age = std::chrono::milliseconds(random_below(5000)),
                 .memory_reserved = random_below(100000),
                 .memory_total = 100000,
                 .latency_factor = 1 + 0.1 * random_below(10)};
  }
  return candidates;
}

}  // namespace tarragon::policy

#endif  // TARRAGON_BENCH_POLICY_CANDIDATE_LIST_H_
