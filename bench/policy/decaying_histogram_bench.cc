#include "tarragon/policy/decaying_histogram.h"

#include <benchmark/benchmark.h>

namespace tarragon::policy {
namespace {

void BM_RecordAndQuantile(benchmark::State& state) {
  decaying_histogram histogram(decaying_histogram::options{});
  double sample = 1;
  for (auto _ : state) {
    sample = sample < 10000 ? sample * 1.1 : 1;
    histogram.Record(sample);
    benchmark::DoNotOptimize(histogram.QuantileAbove(50, 0.9));
  }
}
BENCHMARK(BM_RecordAndQuantile)->Name("decaying_histogram/RecordAndQuantile");

}  // namespace
}  // namespace tarragon::policy
