#include "tarragon/policy/least_reported_load.h"

#include <benchmark/benchmark.h>

#include <random>

#include "candidate_list.h"
namespace tarragon::policy {
namespace {

void BM_Choose(benchmark::State& state) {
  const auto candidates = MakeCandidates(static_cast<std::size_t>(state.range(0)));
  std::mt19937_64 random(1);
  least_reported_load rule;
  for (auto _ : state) {
    benchmark::DoNotOptimize(rule.Choose(candidates, random));
  }
}
BENCHMARK(BM_Choose)->Name("least_reported_load/Choose")->Arg(12)->Arg(64);

}  // namespace
}  // namespace tarragon::policy
