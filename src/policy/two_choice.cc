#include "tarragon/policy/two_choice.h"

#include <algorithm>
#include <cmath>

#include "tarragon/base/invariant.h"

namespace tarragon::policy {

namespace {

// At this age a report has the same weight as the gossiped counts, which are themselves about one
// gossip period old.
constexpr std::chrono::duration<double> kReportHalfLife{1.0};
// Slots assumed for an endpoint that has not reported yet.
constexpr double kUnknownSlots = 8;
// Load per slot that a cached prefix compensates. Prefix affinity is only a hint: it never
// outweighs more than a quarter of an endpoint's capacity.
constexpr double kPrefixHitCredit = 0.25;

bool IsEligible(const endpoint_candidate& candidate) {
  return candidate.eligible;
}

bool IsPrefixHit(const endpoint_candidate& candidate) {
  return candidate.eligible && candidate.prefix_hit;
}

template <typename Predicate>
std::size_t FindNthMatching(std::span<const endpoint_candidate> candidates,
                            std::size_t n,
                            Predicate matches) {
  for (std::size_t i = 0; i < candidates.size(); ++i) {
    if (matches(candidates[i]) && n-- == 0) {
      return i;
    }
  }
  return candidates.size();
}

std::size_t RandomIndex(std::size_t count, std::mt19937_64& random) {
  return std::uniform_int_distribution<std::size_t>(0, count - 1)(random);
}

/**
 * Load from other entries: the reported load less this entry's own requests, replaced gradually by
 * the gossiped counts as the report ages.
 */
double PeerLoad(const endpoint_candidate& candidate) {
  const double reported = candidate.reported_running + candidate.reported_waiting;
  const double peer_reported = std::max(reported - candidate.own_in_flight_at_report, 0.0);
  const double report_weight =
      candidate.slots == 0 ? 0 : std::exp2(-candidate.report_age / kReportHalfLife);
  return report_weight * peer_reported + (1 - report_weight) * candidate.peer_in_flight;
}

}  // namespace

double two_choice::Score(const endpoint_candidate& candidate) {
  const double slots = candidate.slots == 0 ? kUnknownSlots : candidate.slots;
  const double load = (candidate.own_in_flight + PeerLoad(candidate) + 1) / slots;
  const double memory = candidate.memory_total == 0
                            ? 0
                            : static_cast<double>(candidate.memory_reserved) /
                                  static_cast<double>(candidate.memory_total);
  const double score = std::max(load, memory) * std::max(candidate.latency_factor, 1.0);
  return candidate.prefix_hit ? score - kPrefixHitCredit : score;
}

std::optional<std::size_t> two_choice::Choose(std::span<const endpoint_candidate> candidates,
                                              std::mt19937_64& random) const {
  const auto eligible = static_cast<std::size_t>(std::ranges::count_if(candidates, IsEligible));
  if (eligible == 0) {
    return std::nullopt;
  }
  const auto prefix_hits = static_cast<std::size_t>(std::ranges::count_if(candidates, IsPrefixHit));
  const std::size_t first =
      prefix_hits > 0 ? FindNthMatching(candidates, RandomIndex(prefix_hits, random), IsPrefixHit)
                      : FindNthMatching(candidates, RandomIndex(eligible, random), IsEligible);
  TARRAGON_INVARIANT(first < candidates.size(), "no eligible endpoint at the drawn position");
  if (eligible == 1) {
    return first;
  }
  const auto is_other = [&](const endpoint_candidate& candidate) {
    return candidate.eligible && &candidate != &candidates[first];
  };
  const std::size_t second =
      FindNthMatching(candidates, RandomIndex(eligible - 1, random), is_other);
  return Score(candidates[second]) < Score(candidates[first]) ? second : first;
}

}  // namespace tarragon::policy
