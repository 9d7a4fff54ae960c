#include "policy/fleet_comparison.h"

#include <gtest/gtest.h>

#include <string>

namespace tarragon::policy {
namespace {

comparison_result RunWithRule(comparison_options options, const endpoint_selector::rule& rule) {
  options.rule = rule;
  return fleet_comparison(options).Run();
}

class report_delay_test : public testing::TestWithParam<int> {
 protected:
  duration Delay() const { return std::chrono::seconds(GetParam()); }
};

// Guards against a p99 slowdown above that of a baseline while 2 of 12 endpoints run at a fifth of
// their speed. A healthy fleet is not checked: there round robin has the lower p99.
TEST_P(report_delay_test, TwoChoiceBeatsBaselinesWithSlowEndpoints) {
  comparison_options options{.report_delay = Delay(), .slow_endpoints = 2};
  const comparison_result with_round_robin = RunWithRule(options, round_robin{});
  const comparison_result with_reported_load = RunWithRule(options, least_reported_load{});
  const comparison_result without_detector = RunWithRule(options, two_choice{});
  options.detect_outliers = true;
  const comparison_result with_detector = RunWithRule(options, two_choice{});
  EXPECT_LT(without_detector.p99_slowdown, with_round_robin.p99_slowdown);
  EXPECT_LT(without_detector.p99_slowdown, with_reported_load.p99_slowdown);
  EXPECT_LT(with_detector.p99_slowdown, without_detector.p99_slowdown);
  EXPECT_LT(with_detector.p99_short_slowdown, without_detector.p99_short_slowdown);
}

// Guards against admission by present memory use instead of the predicted peak. The design target
// at a demand of 90% of the memory is at most a tenth of the preemptions and stall time of the
// better baseline.
TEST_P(report_delay_test, ReservingThePredictedPeakPreventsPreemptions) {
  comparison_options options = MemoryBoundOptions();
  options.report_delay = Delay();
  const comparison_result with_round_robin = RunWithRule(options, round_robin{});
  const comparison_result with_reported_load = RunWithRule(options, least_reported_load{});
  options.reserve_memory = true;
  const comparison_result with_reservation = RunWithRule(options, two_choice{});
  EXPECT_LE(10 * with_reservation.preemptions,
            std::min(with_round_robin.preemptions, with_reported_load.preemptions));
  EXPECT_LE(10 * with_reservation.stall_seconds,
            std::min(with_round_robin.stall_seconds, with_reported_load.stall_seconds));
}

INSTANTIATE_TEST_SUITE_P(Delays, report_delay_test, testing::Values(1, 5), [](const auto& delay) {
  return std::to_string(delay.param) + "s";
});

}  // namespace
}  // namespace tarragon::policy
