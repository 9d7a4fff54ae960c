#include "tarragon/policy/round_robin.h"

#include <gtest/gtest.h>

#include <array>

namespace tarragon::policy {
namespace {

// Guards against a baseline that favours one endpoint, which would make other policies look better.
TEST(RoundRobin, VisitsEligibleEndpointsInTurn) {
  std::array<endpoint_candidate, 3> candidates{};
  candidates[1].eligible = false;
  std::mt19937_64 random(1);
  round_robin rule;
  EXPECT_EQ(rule.Choose(candidates, random), 0U);
  EXPECT_EQ(rule.Choose(candidates, random), 2U);
  EXPECT_EQ(rule.Choose(candidates, random), 0U);
}

// Guards against an endless search when no endpoint is eligible.
TEST(RoundRobin, IsEmptyWithoutEligibleEndpoint) {
  std::array<endpoint_candidate, 2> candidates{};
  candidates[0].eligible = candidates[1].eligible = false;
  std::mt19937_64 random(1);
  EXPECT_EQ(round_robin().Choose(candidates, random), std::nullopt);
  EXPECT_EQ(round_robin().Choose({}, random), std::nullopt);
}

}  // namespace
}  // namespace tarragon::policy
