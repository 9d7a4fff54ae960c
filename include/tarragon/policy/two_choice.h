#ifndef TARRAGON_POLICY_TWO_CHOICE_H_
#define TARRAGON_POLICY_TWO_CHOICE_H_

#include <cstddef>
#include <optional>
#include <random>
#include <span>

#include "tarragon/policy/endpoint_candidate.h"

namespace tarragon::policy {

/**
 * Power of two choices: compares the scores of two random eligible endpoints, the first of which
 * caches the prefix if any does. Entries that choose at the same moment from the same reports draw
 * different pairs, so they do not all choose the endpoint with the lowest reported load.
 */
class two_choice final {
 public:
  /** @return position in `candidates`, or empty if none is eligible. */
  std::optional<std::size_t> Choose(std::span<const endpoint_candidate> candidates,
                                    std::mt19937_64& random) const;

  /** @return expected load per slot after adding one request; lower is better. */
  static double Score(const endpoint_candidate& candidate);
};

}  // namespace tarragon::policy

#endif  // TARRAGON_POLICY_TWO_CHOICE_H_
