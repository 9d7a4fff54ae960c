#include "tarragon/policy/memory_ledger.h"

#include <benchmark/benchmark.h>

namespace tarragon::policy {
namespace {

constexpr endpoint_index kEndpoints = 64;

memory_ledger MakeLedger(std::uint64_t streams_per_endpoint) {
  memory_ledger ledger;
  for (endpoint_index endpoint = 0; endpoint < kEndpoints; ++endpoint) {
    ledger.SetEndpointMemory(endpoint, 60000, 10000, 10);
    for (std::uint64_t i = 0; i < streams_per_endpoint; ++i) {
      ledger.Reserve({endpoint * streams_per_endpoint + i + 1}, endpoint,
                     {200, static_cast<std::uint32_t>(100 + 13 * i % 500)});
    }
  }
  return ledger;
}

void BM_Fits(benchmark::State& state) {
  const memory_ledger ledger = MakeLedger(static_cast<std::uint64_t>(state.range(0)));
  endpoint_index endpoint = 0;
  for (auto _ : state) {
    endpoint = (endpoint + 1) % kEndpoints;
    benchmark::DoNotOptimize(ledger.Fits(endpoint, {300, 40000}));
  }
}
BENCHMARK(BM_Fits)->Name("memory_ledger/Fits")->Arg(3)->Arg(24)->Arg(128);

void BM_FitsAllEndpoints(benchmark::State& state) {
  const memory_ledger ledger = MakeLedger(static_cast<std::uint64_t>(state.range(0)));
  for (auto _ : state) {
    for (endpoint_index endpoint = 0; endpoint < kEndpoints; ++endpoint) {
      benchmark::DoNotOptimize(ledger.Fits(endpoint, {300, 40000}));
    }
  }
}
BENCHMARK(BM_FitsAllEndpoints)->Name("memory_ledger/Fits64Endpoints")->Arg(3)->Arg(24);

void BM_ReserveAndRelease(benchmark::State& state) {
  memory_ledger ledger = MakeLedger(static_cast<std::uint64_t>(state.range(0)));
  const attempt_id attempt{1U << 30};
  for (auto _ : state) {
    ledger.Reserve(attempt, 5, {300, 250});
    ledger.Release(attempt);
  }
}
BENCHMARK(BM_ReserveAndRelease)->Name("memory_ledger/ReserveAndRelease")->Arg(3)->Arg(24);

void BM_Adjust(benchmark::State& state) {
  memory_ledger ledger = MakeLedger(static_cast<std::uint64_t>(state.range(0)));
  std::uint32_t generated = 0;
  for (auto _ : state) {
    generated = (generated + 1) % 300;
    ledger.Adjust({7}, {200 + generated, 400 - generated});
  }
}
BENCHMARK(BM_Adjust)->Name("memory_ledger/Adjust")->Arg(3)->Arg(24);

}  // namespace
}  // namespace tarragon::policy
