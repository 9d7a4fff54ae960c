#include "policy/fleet_comparison.h"

#include <gtest/gtest.h>

#include <string>

namespace tarragon::policy {
namespace {

comparison_result RunWith(comparison_options options, const endpoint_selector::rule& rule) {
  options.rule = rule;
  return fleet_comparison(options).Run();
}

class late_reports_test : public testing::TestWithParam<int> {
 protected:
  duration Delay() const { return std::chrono::seconds(GetParam()); }
};

// Guards against a selector that loses to a baseline while 2 of 12 endpoints run at a fifth of
// their speed. The healthy fleet is not part of the check: there round robin is better at p99.
TEST_P(late_reports_test, SlowedEndpointsHurtLessThanWithEitherBaseline) {
  comparison_options options{.report_delay = Delay(), .slow_endpoints = 2};
  const comparison_result in_turn = RunWith(options, round_robin{});
  const comparison_result reported = RunWith(options, least_reported_load{});
  const comparison_result undetected = RunWith(options, two_choice{});
  options.detect_outliers = true;
  const comparison_result detected = RunWith(options, two_choice{});
  EXPECT_LT(undetected.p99_slowdown, in_turn.p99_slowdown);
  EXPECT_LT(undetected.p99_slowdown, reported.p99_slowdown);
  EXPECT_LT(detected.p99_slowdown, undetected.p99_slowdown);
  EXPECT_LT(detected.p99_short_slowdown, undetected.p99_short_slowdown);
}

// Guards against admission by present load: with demand at 90% of the memory, preemptions and
// stall must be at most a tenth of the better baseline's (target of the design page).
TEST_P(late_reports_test, ReservingThePeakPreventsPreemptions) {
  comparison_options options = MemoryBound();
  options.report_delay = Delay();
  const comparison_result in_turn = RunWith(options, round_robin{});
  const comparison_result reported = RunWith(options, least_reported_load{});
  options.reserve_memory = true;
  const comparison_result reserved = RunWith(options, two_choice{});
  EXPECT_LE(10 * reserved.preemptions, std::min(in_turn.preemptions, reported.preemptions));
  EXPECT_LE(10 * reserved.stall_seconds, std::min(in_turn.stall_seconds, reported.stall_seconds));
}

INSTANTIATE_TEST_SUITE_P(Delays, late_reports_test, testing::Values(1, 5), [](const auto& delay) {
  return std::to_string(delay.param) + "s";
});

}  // namespace
}  // namespace tarragon::policy
