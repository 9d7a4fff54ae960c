#ifndef TARRAGON_POLICY_LEAST_REPORTED_LOAD_H_
#define TARRAGON_POLICY_LEAST_REPORTED_LOAD_H_

#include <cstddef>
#include <optional>
#include <random>
#include <span>

#include "tarragon/policy/endpoint_candidate.h"

namespace tarragon::policy {

/**
 * Baseline policy: chooses the eligible endpoint with the lowest reported load per slot. Ties are
 * broken at random.
 */
class least_reported_load final {
 public:
  /** @return position in `candidates`, or empty if none is eligible. */
  std::optional<std::size_t> Choose(std::span<const endpoint_candidate> candidates,
                                    std::mt19937_64& random) const;
};

}  // namespace tarragon::policy

#endif  // TARRAGON_POLICY_LEAST_REPORTED_LOAD_H_
