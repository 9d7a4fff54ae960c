#include "tarragon/policy/crash_suspects.h"

#include <benchmark/benchmark.h>

namespace tarragon::policy {
namespace {

void BM_CanRun(benchmark::State& state) {
  crash_suspects suspects;
  for (std::uint64_t i = 0; i < 1000; ++i) {
    suspects.RecordCrash(time_point{}, {i});
    suspects.TryAssign({i}, static_cast<endpoint_index>(i % 64));
  }
  std::uint64_t request_fingerprint = 0;
  for (auto _ : state) {
    request_fingerprint = (request_fingerprint + 1) % 2000;
    benchmark::DoNotOptimize(suspects.CanRun({request_fingerprint}, 3));
  }
}
BENCHMARK(BM_CanRun)->Name("crash_suspects/MayRun");

}  // namespace
}  // namespace tarragon::policy
