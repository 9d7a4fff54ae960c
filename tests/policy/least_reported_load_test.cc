#include "tarragon/policy/least_reported_load.h"

#include <gtest/gtest.h>

#include <array>

namespace tarragon::policy {
namespace {

// Guards against comparing request counts of endpoints that have different numbers of slots.
TEST(LeastReportedLoad, ComparesLoadPerSlot) {
  std::array<endpoint_candidate, 2> candidates{};
  candidates[0] = {.reported_running = 4, .slots = 4};
  candidates[1] = {.reported_running = 5, .reported_waiting = 1, .slots = 16};
  std::mt19937_64 random(1);
  EXPECT_EQ(least_reported_load().Choose(candidates, random), 1U);
}

// Guards against sending all requests to the first of several equally loaded endpoints.
TEST(LeastReportedLoad, BreaksTiesEvenly) {
  std::array<endpoint_candidate, 3> candidates{};
  std::mt19937_64 random(1);
  std::array<int, 3> chosen{};
  for (int i = 0; i < 3000; ++i) {
    chosen[*least_reported_load().Choose(candidates, random)] += 1;
  }
  for (const int count : chosen) {
    EXPECT_NEAR(count, 1000, 150);
  }
}

}  // namespace
}  // namespace tarragon::policy
