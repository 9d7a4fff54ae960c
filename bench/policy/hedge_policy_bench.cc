#include "tarragon/policy/hedge_policy.h"

#include <benchmark/benchmark.h>

#include "tarragon/policy/retry_budget.h"
namespace tarragon::policy {
namespace {

void BM_ShouldHedge(benchmark::State& state) {
  hedge_policy policy;
  for (int i = 0; i < 1000; ++i) {
    policy.Record("lookup", std::chrono::milliseconds(10 + i % 50));
  }
  retry_budget budget;
  const hedge_context context{.request_class = "lookup",
                              .repeatable = true,
                              .elapsed = std::chrono::milliseconds(30),
                              .time_left = std::chrono::seconds(1)};
  for (auto _ : state) {
    benchmark::DoNotOptimize(policy.ShouldHedge(context, budget));
  }
}
BENCHMARK(BM_ShouldHedge)->Name("hedge_policy/ShouldHedge");

}  // namespace
}  // namespace tarragon::policy
