#include "tarragon/policy/retry_decider.h"

#include <benchmark/benchmark.h>

#include "tarragon/policy/retry_budget.h"
namespace tarragon::policy {
namespace {

void BM_Decide(benchmark::State& state) {
  const retry_decider decider;
  retry_budget budget;
  const retry_context context{.end = attempt_end::kGenerationLost};
  for (auto _ : state) {
    benchmark::DoNotOptimize(decider.Decide(time_point{}, context, budget));
  }
}
BENCHMARK(BM_Decide)->Name("retry_decider/Decide");

}  // namespace
}  // namespace tarragon::policy
