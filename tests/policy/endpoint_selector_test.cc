#include "tarragon/policy/endpoint_selector.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <vector>

namespace tarragon::policy {
namespace {

// Guards against a rule that selects an excluded endpoint or selects none although one is eligible.
RC_GTEST_PROP(EndpointSelector,
              ChoosesEligibleIfAny,
              (const std::vector<bool>& eligible, std::uint64_t seed)) {
  std::vector<endpoint_candidate> candidates;
  candidates.reserve(eligible.size());
  for (const bool is_eligible : eligible) {
    candidates.push_back({.eligible = is_eligible});
  }
  const bool has_any = std::ranges::any_of(candidates, &endpoint_candidate::eligible);
  std::mt19937_64 random(seed);
  const std::vector<endpoint_selector::rule> rules{round_robin{}, least_reported_load{},
                                                   two_choice{}};
  for (const endpoint_selector::rule& rule : rules) {
    endpoint_selector selector(rule);
    const auto chosen = selector.Choose(candidates, random);
    RC_ASSERT(chosen.has_value() == has_any);
    if (chosen) {
      RC_ASSERT(candidates.at(*chosen).eligible);
    }
  }
}

// Guards against decisions that a replay with the same seed does not reproduce.
RC_GTEST_PROP(EndpointSelector,
              SameSeedSameChoice,
              (const std::vector<std::uint8_t>& loads, std::uint64_t seed)) {
  std::vector<endpoint_candidate> candidates;
  candidates.reserve(loads.size());
  for (const std::uint8_t load : loads) {
    candidates.push_back({.own_in_flight = load, .slots = 8});
  }
  std::mt19937_64 first(seed);
  std::mt19937_64 second(seed);
  RC_ASSERT(endpoint_selector().Choose(candidates, first) ==
            endpoint_selector().Choose(candidates, second));
}

}  // namespace
}  // namespace tarragon::policy
