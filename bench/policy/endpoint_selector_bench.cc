#include "tarragon/policy/endpoint_selector.h"

#include <benchmark/benchmark.h>

#include <random>

#include "candidate_list.h"
#include "tarragon/policy/concurrency_limiter.h"
#include "tarragon/policy/memory_ledger.h"
#include "tarragon/policy/outlier_detector.h"
namespace tarragon::policy {
namespace {

void BM_Choose(benchmark::State& state) {
  const auto candidates = MakeCandidates(static_cast<std::size_t>(state.range(0)));
  std::mt19937_64 random(1);
  endpoint_selector selector;
  for (auto _ : state) {
    benchmark::DoNotOptimize(selector.Choose(candidates, random));
  }
}
BENCHMARK(BM_Choose)->Name("endpoint_selector/Choose")->Arg(12)->Arg(64);

/** Fills 64 candidates from the other policies, selects one, checks and reserves its memory. */
void BM_RoutingDecision(benchmark::State& state) {
  constexpr endpoint_index kEndpoints = 64;
  auto candidates = MakeCandidates(kEndpoints);
  concurrency_limiter limiter;
  outlier_detector detector;
  memory_ledger ledger;
  for (endpoint_index i = 0; i < kEndpoints; ++i) {
    limiter.SetSlots(i, 24);
    detector.Add(i);
    ledger.SetEndpointMemory(i, 60000, 10000, 10);
    for (std::uint64_t k = 0; k < 3; ++k) {
      ledger.Reserve({std::uint64_t{i} * 3 + k + 1}, i, {200, 300});
    }
  }
  std::mt19937_64 random(1);
  endpoint_selector selector;
  const attempt_id attempt{1000};
  for (auto _ : state) {
    for (endpoint_index i = 0; i < kEndpoints; ++i) {
      endpoint_candidate& candidate = candidates[i];
      candidate.eligible = detector.CanSend(i) &&
                           limiter.CanAdmit(i, {candidate.own_in_flight, 2}, request_length::kLong);
      candidate.latency_factor = detector.LatencyFactor(i);
      candidate.memory_reserved = ledger.Peak(i);
    }
    const auto chosen = selector.Choose(candidates, random);
    const auto endpoint = static_cast<endpoint_index>(chosen.value_or(0));
    if (ledger.Fits(endpoint, {200, 400})) {
      ledger.Reserve(attempt, endpoint, {200, 400});
      ledger.Release(attempt);
    }
  }
}
BENCHMARK(BM_RoutingDecision)->Name("endpoint_selector/RoutingDecision64");

}  // namespace
}  // namespace tarragon::policy
