#include "tarragon/policy/endpoint_subset.h"

#include <benchmark/benchmark.h>

#include "policy/fleet_names.h"
namespace tarragon::policy {
namespace {

constexpr std::size_t kEntries = 390;
constexpr std::size_t kEndpoints = 5200;
constexpr std::size_t kDomains = 5;
constexpr std::size_t kBound = 64;

void BM_Compute(benchmark::State& state) {
  const fleet_names fleet(kEntries, kEndpoints, kDomains);
  const auto vms = fleet.vms();
  const auto endpoints = fleet.endpoints();
  for (auto _ : state) {
    benchmark::DoNotOptimize(endpoint_subset::Compute(vms[0], vms, endpoints));
  }
}
BENCHMARK(BM_Compute)->Name("endpoint_subset/Compute")->Unit(benchmark::kMillisecond);

/** Measures evenness and moved pairs for several values of `fill`, in percent. */
void BM_Evenness(benchmark::State& state) {
  const fleet_names fleet(kEntries, kEndpoints, kDomains);
  const subset_options options{.fill = static_cast<double>(state.range(0)) / 100};
  constexpr std::size_t kChanges = 20;
  load_spread spread;
  double vm_moved = 0;
  double endpoint_moved = 0;
  double pairs = 0;
  for (auto _ : state) {
    const auto subsets = fleet.Assign(options);
    spread = MeasureSpread(subsets, kEndpoints);
    pairs = static_cast<double>(CountPairs(subsets));
    for (std::size_t i = 0; i < kChanges; ++i) {
      vm_moved += static_cast<double>(CountMovedPairs(fleet, fleet.WithoutVm(17 * i), options));
      endpoint_moved +=
          static_cast<double>(CountMovedPairs(fleet, fleet.WithoutEndpoint(257 * i), options));
    }
  }
  state.counters["max_to_mean"] = spread.max_to_mean;
  state.counters["min_to_mean"] = spread.min_to_mean;
  state.counters["pairs"] = pairs;
  state.counters["moved_per_vm"] = vm_moved / kChanges;
  state.counters["moved_per_endpoint"] = endpoint_moved / kChanges;
}
BENCHMARK(BM_Evenness)
    ->Name("endpoint_subset/EvennessByFill")
    ->Arg(70)
    ->Arg(80)
    ->Arg(85)
    ->Arg(90)
    ->Iterations(1)
    ->Unit(benchmark::kMillisecond);

/** Measures evenness when each entry uses the endpoints that it ranks highest itself. */
void BM_PlainRendezvous(benchmark::State& state) {
  const fleet_names fleet(kEntries, kEndpoints, kDomains);
  load_spread spread;
  for (auto _ : state) {
    spread = MeasureSpread(PlainRendezvous(fleet, kBound), kEndpoints);
  }
  state.counters["max_to_mean"] = spread.max_to_mean;
  state.counters["min_to_mean"] = spread.min_to_mean;
  state.counters["unused"] = static_cast<double>(spread.unused);
}
BENCHMARK(BM_PlainRendezvous)
    ->Name("endpoint_subset/PlainRendezvousEvenness")
    ->Iterations(1)
    ->Unit(benchmark::kMillisecond);

}  // namespace
}  // namespace tarragon::policy
