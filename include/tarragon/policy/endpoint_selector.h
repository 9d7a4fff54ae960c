#ifndef TARRAGON_POLICY_ENDPOINT_SELECTOR_H_
#define TARRAGON_POLICY_ENDPOINT_SELECTOR_H_

#include <cstddef>
#include <optional>
#include <random>
#include <span>
#include <variant>

#include "tarragon/policy/endpoint_candidate.h"
#include "tarragon/policy/least_reported_load.h"
#include "tarragon/policy/round_robin.h"
#include "tarragon/policy/two_choice.h"

namespace tarragon::policy {

/** Selects the endpoint for an attempt by one of three rules. Does not allocate memory. */
class endpoint_selector final {
 public:
  using rule = std::variant<round_robin, least_reported_load, two_choice>;

  explicit endpoint_selector(rule selection_rule = two_choice{}) : rule_(selection_rule) {}

  /** @return index in `candidates` of an eligible endpoint, or empty if none is eligible. */
  std::optional<std::size_t> Choose(std::span<const endpoint_candidate> candidates,
                                    std::mt19937_64& random);

 private:
  rule rule_;
};

}  // namespace tarragon::policy

#endif  // TARRAGON_POLICY_ENDPOINT_SELECTOR_H_
