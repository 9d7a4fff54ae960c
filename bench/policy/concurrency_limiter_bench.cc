#include "tarragon/policy/concurrency_limiter.h"

#include <benchmark/benchmark.h>

namespace tarragon::policy {
namespace {

void BM_AdmitAndRecord(benchmark::State& state) {
  concurrency_limiter limiter;
  for (endpoint_index endpoint = 0; endpoint < 64; ++endpoint) {
    limiter.SetSlots(endpoint, 24);
  }
  endpoint_index endpoint = 0;
  for (auto _ : state) {
    endpoint = (endpoint + 1) % 64;
    benchmark::DoNotOptimize(limiter.CanAdmit(endpoint, {10, 5}, request_length::kLong));
    limiter.RecordLatency(endpoint, std::chrono::milliseconds(100 + endpoint), 10);
  }
}
BENCHMARK(BM_AdmitAndRecord)->Name("concurrency_limiter/AdmitAndRecord");

/** Checks all 64 endpoints, as each endpoint selection does. */
void BM_CanAdmit64(benchmark::State& state) {
  concurrency_limiter limiter;
  for (endpoint_index endpoint = 0; endpoint < 64; ++endpoint) {
    limiter.SetSlots(endpoint, 24);
  }
  for (auto _ : state) {
    for (endpoint_index endpoint = 0; endpoint < 64; ++endpoint) {
      benchmark::DoNotOptimize(limiter.CanAdmit(endpoint, {10, 5}, request_length::kLong));
    }
  }
}
BENCHMARK(BM_CanAdmit64)->Name("concurrency_limiter/Admits64Endpoints");

}  // namespace
}  // namespace tarragon::policy
