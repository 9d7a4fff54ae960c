#ifndef TARRAGON_POLICY_ROUND_ROBIN_H_
#define TARRAGON_POLICY_ROUND_ROBIN_H_

#include <cstddef>
#include <optional>
#include <random>
#include <span>

#include "tarragon/policy/endpoint_candidate.h"

namespace tarragon::policy {

/** Baseline policy: chooses the eligible endpoints in turn. */
class round_robin final {
 public:
  /** @return position in `candidates`, or empty if none is eligible. */
  std::optional<std::size_t> Choose(std::span<const endpoint_candidate> candidates,
                                    std::mt19937_64& random);

 private:
  std::size_t next_ = 0;
};

}  // namespace tarragon::policy

#endif  // TARRAGON_POLICY_ROUND_ROBIN_H_
