#include "tarragon/policy/retry_budget.h"

#include <benchmark/benchmark.h>

namespace tarragon::policy {
namespace {

void BM_RecordAndTake(benchmark::State& state) {
  retry_budget budget;
  for (auto _ : state) {
    budget.RecordRequest();
    benchmark::DoNotOptimize(budget.TryTake());
  }
}
BENCHMARK(BM_RecordAndTake)->Name("retry_budget/RecordAndTake");

}  // namespace
}  // namespace tarragon::policy
