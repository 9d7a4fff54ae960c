#include "tarragon/policy/least_reported_load.h"

#include <algorithm>
#include <limits>

namespace tarragon::policy {

namespace {

double ReportedLoad(const endpoint_candidate& candidate) {
  return static_cast<double>(candidate.reported_running + candidate.reported_waiting) /
         std::max(candidate.slots, 1U);
}

}  // namespace

std::optional<std::size_t> least_reported_load::Choose(
    std::span<const endpoint_candidate> candidates,
    std::mt19937_64& random) const {
  std::optional<std::size_t> best;
  double best_load = std::numeric_limits<double>::infinity();
  std::size_t ties = 0;
  for (std::size_t i = 0; i < candidates.size(); ++i) {
    if (!candidates[i].eligible) {
      continue;
    }
    const double load = ReportedLoad(candidates[i]);
    if (load < best_load) {
      best = i;
      best_load = load;
      ties = 1;
    } else if (load == best_load) {
      ties += 1;
      if (std::uniform_int_distribution<std::size_t>(1, ties)(random) == 1) {
        best = i;
      }
    }
  }
  return best;
}

}  // namespace tarragon::policy
