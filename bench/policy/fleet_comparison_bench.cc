#include "policy/fleet_comparison.h"

#include <benchmark/benchmark.h>

#include <array>

namespace tarragon::policy {
namespace {

enum class candidate_policy : std::uint8_t {
  kRoundRobin,
  kLeastReported,
  kTwoChoice,
  kTwoChoiceDetector
};

constexpr std::array kPolicyNames{"round_robin", "least_reported", "two_choice",
                                  "two_choice+detector"};

void SetPolicy(candidate_policy policy, comparison_options& options) {
  if (policy == candidate_policy::kRoundRobin) {
    options.rule = round_robin{};
  } else if (policy == candidate_policy::kLeastReported) {
    options.rule = least_reported_load{};
  } else {
    options.rule = two_choice{};
  }
  options.detect_outliers = policy == candidate_policy::kTwoChoiceDetector;
}

/** Runs three seeds; reports mean slowdowns and sums of the other results. */
void RunSeeds(benchmark::State& state, comparison_options options) {
  constexpr std::uint64_t kSeeds = 3;
  comparison_result sum;
  for (auto _ : state) {
    for (options.seed = 1; options.seed <= kSeeds; ++options.seed) {
      const comparison_result result = fleet_comparison(options).Run();
      sum.finished += result.finished;
      sum.p50_slowdown += result.p50_slowdown / kSeeds;
      sum.p99_slowdown += result.p99_slowdown / kSeeds;
      sum.p99_short_slowdown += result.p99_short_slowdown / kSeeds;
      sum.preemptions += result.preemptions;
      sum.stall_seconds += result.stall_seconds;
    }
  }
  state.counters["finished"] = static_cast<double>(sum.finished);
  state.counters["p50"] = sum.p50_slowdown;
  state.counters["p99"] = sum.p99_slowdown;
  state.counters["p99_short"] = sum.p99_short_slowdown;
  state.counters["preemptions"] = static_cast<double>(sum.preemptions);
  state.counters["stall_s"] = sum.stall_seconds;
}

/** Arguments: policy, report delay in seconds, number of slow endpoints out of 12. */
void BM_Selector(benchmark::State& state) {
  comparison_options options;
  const auto policy = static_cast<candidate_policy>(state.range(0));
  SetPolicy(policy, options);
  options.report_delay = std::chrono::seconds(state.range(1));
  options.slow_endpoints = static_cast<std::size_t>(state.range(2));
  state.SetLabel(kPolicyNames.at(static_cast<std::size_t>(state.range(0))));
  RunSeeds(state, options);
}
BENCHMARK(BM_Selector)
    ->Name("fleet_comparison/Selector")
    ->ArgsProduct({{0, 1, 2, 3}, {1, 5}, {0, 2}})
    ->Iterations(1)
    ->Unit(benchmark::kMillisecond);

/**
 * Demand close to the memory of the fleet. Arguments: policy, whether memory is reserved by the
 * predicted peak, report delay in seconds.
 */
void BM_Memory(benchmark::State& state) {
  comparison_options options = MemoryBoundOptions();
  SetPolicy(static_cast<candidate_policy>(state.range(0)), options);
  options.reserve_memory = state.range(1) != 0;
  options.report_delay = std::chrono::seconds(state.range(2));
  state.SetLabel(kPolicyNames.at(static_cast<std::size_t>(state.range(0))));
  RunSeeds(state, options);
}
BENCHMARK(BM_Memory)
    ->Name("fleet_comparison/Memory")
    ->ArgsProduct({{0, 1, 2}, {0, 1}, {1, 5}})
    ->Iterations(1)
    ->Unit(benchmark::kMillisecond);

}  // namespace
}  // namespace tarragon::policy
