#include "tarragon/membership/swim_member.h"

#include <benchmark/benchmark.h>

#include "membership/fake_network.h"

namespace tarragon::membership {
namespace {

/** CPU time per member for one simulated second of a group. */
void BM_SimulatedSecond(benchmark::State& state) {
  const auto count = static_cast<std::size_t>(state.range(0));
  fake_network network(count, 1);
  network.Run(std::chrono::seconds(30));
  for (auto _ : state) {
    network.Run(std::chrono::seconds(1));
  }
  state.SetItemsProcessed(state.iterations() * state.range(0));
}
BENCHMARK(BM_SimulatedSecond)->Arg(8)->Arg(64);

}  // namespace
}  // namespace tarragon::membership
