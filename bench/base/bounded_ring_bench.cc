#include "tarragon/base/bounded_ring.h"

#include <benchmark/benchmark.h>

namespace tarragon {
namespace {

void BM_PushPop(benchmark::State& state) {
  bounded_ring<int> ring(1024);
  for (auto _ : state) {
    ring.TryPush(1);
    benchmark::DoNotOptimize(ring.Pop(duration::zero()));
  }
}
BENCHMARK(BM_PushPop);

}  // namespace
}  // namespace tarragon
