#include "tarragon/policy/service_rate.h"

#include <benchmark/benchmark.h>

namespace tarragon::policy {
namespace {

void BM_RecordAndEstimate(benchmark::State& state) {
  service_rate rate;
  for (auto _ : state) {
    rate.RecordBusyTime(std::chrono::milliseconds(1));
    rate.RecordDeparture(1);
    benchmark::DoNotOptimize(rate.Estimate(1));
  }
}
BENCHMARK(BM_RecordAndEstimate);

}  // namespace
}  // namespace tarragon::policy
