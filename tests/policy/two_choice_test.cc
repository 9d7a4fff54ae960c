#include "tarragon/policy/two_choice.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <array>
#include <vector>

namespace tarragon::policy {
namespace {

using namespace std::chrono_literals;

// Guards against counting this entry's requests twice, as in flight and as part of the report.
TEST(TwoChoice, ReplacesOwnRequestsInTheReport) {
  const endpoint_candidate idle{.own_in_flight = 0, .slots = 10};
  const endpoint_candidate own_only{
      .own_in_flight = 4, .own_in_flight_at_report = 4, .reported_running = 4, .slots = 10};
  EXPECT_DOUBLE_EQ(two_choice::Score(own_only) - two_choice::Score(idle), 0.4);
}

// Guards against ignoring requests that were sent after the report was measured.
TEST(TwoChoice, AddsRequestsSentSinceTheReport) {
  const endpoint_candidate reported{
      .own_in_flight = 1, .own_in_flight_at_report = 1, .reported_running = 6, .slots = 10};
  endpoint_candidate sent_more = reported;
  sent_more.own_in_flight = 5;
  EXPECT_DOUBLE_EQ(two_choice::Score(sent_more) - two_choice::Score(reported), 0.4);
}

// Guards against trusting an old report more than the other entries' gossiped counts.
TEST(TwoChoice, GossipOutweighsOldReport) {
  const endpoint_candidate busy_long_ago{
      .peer_in_flight = 2, .reported_running = 10, .slots = 10, .report_age = 5s};
  const endpoint_candidate busy_now{
      .peer_in_flight = 2, .reported_running = 10, .slots = 10, .report_age = 0s};
  EXPECT_LT(two_choice::Score(busy_long_ago), 0.4);
  EXPECT_GT(two_choice::Score(busy_now), 1.0);
}

// Guards against sending all requests with a cached prefix to an overloaded or slow endpoint.
TEST(TwoChoice, PrefixHitDoesNotOutweighLoad) {
  std::array<endpoint_candidate, 2> candidates{};
  candidates[0] = {.prefix_hit = true, .own_in_flight = 3, .slots = 16};
  candidates[1] = {.own_in_flight = 0, .slots = 16};
  std::mt19937_64 random(1);
  EXPECT_EQ(two_choice().Choose(candidates, random), 0U);
  candidates[0].own_in_flight = 8;
  EXPECT_EQ(two_choice().Choose(candidates, random), 1U);
}

// Guards against the herd effect, in which entries with the same stale reports all choose the
// endpoint with the lowest reported load. Its share must be that of two draws out of n.
TEST(TwoChoice, LowestReportDoesNotAttractAllRequests) {
  constexpr std::size_t kEndpoints = 12;
  constexpr int kChoices = 12000;
  std::array<endpoint_candidate, kEndpoints> candidates{};
  candidates.fill({.reported_running = 8, .slots = 16});
  candidates[3].reported_running = 0;
  std::array<int, kEndpoints> chosen{};
  std::mt19937_64 random(1);
  for (int i = 0; i < kChoices; ++i) {
    chosen[*two_choice().Choose(candidates, random)] += 1;
  }
  EXPECT_NEAR(chosen[3], kChoices * 2.0 / 12, 200);
}

// Guards against choosing an endpoint that is not eligible, and against choosing the endpoint with
// the worst score, which loses every comparison.
RC_GTEST_PROP(TwoChoiceProperty, NeverChoosesExcludedOrStrictlyWorst, (std::uint64_t seed)) {
  const auto loads = *rc::gen::nonEmpty(
      rc::gen::container<std::vector<std::uint8_t>>(rc::gen::arbitrary<std::uint8_t>()));
  std::vector<endpoint_candidate> candidates;
  candidates.reserve(loads.size());
  for (const std::uint8_t load : loads) {
    candidates.push_back({.eligible = load % 3 != 0, .own_in_flight = load, .slots = 8});
  }
  std::mt19937_64 random(seed);
  const auto chosen = two_choice().Choose(candidates, random);
  const auto eligible = std::ranges::count_if(candidates, &endpoint_candidate::eligible);
  RC_ASSERT(chosen.has_value() == (eligible > 0));
  if (!chosen) {
    return;
  }
  RC_ASSERT(candidates[*chosen].eligible);
  const auto not_better = std::ranges::count_if(candidates, [&](const endpoint_candidate& other) {
    return other.eligible && two_choice::Score(other) >= two_choice::Score(candidates[*chosen]);
  });
  RC_ASSERT(eligible == 1 || not_better >= 2);
}

}  // namespace
}  // namespace tarragon::policy
