#include "tarragon/routing/load_exchange.h"

#include <benchmark/benchmark.h>
#include <fmt/format.h>

#include <cstdint>
#include <vector>

namespace tarragon::routing {

/** Applies a message about 20 endpoints; the argument is the number of all endpoints. */
static void BM_ApplyMessage(benchmark::State& state) {
  constexpr std::uint32_t kChanges = 20;
  endpoint_registry registry;
  std::vector<std::uint64_t> hashes;
  for (std::int64_t i = 0; i < state.range(0); ++i) {
    endpoint_entry entry;
    entry.id = fmt::format("engine-{}", i);
    entry.service = "engines";
    registry.Put(time_point{}, 1, entry);
    hashes.push_back(registry.Find(entry.id)->id_hash);
  }
  load_exchange exchange;
  exchange.AddNeighbor(1, neighbor_kind::kTree);
  std::uint32_t requests = 0;
  for ([[maybe_unused]] auto step : state) {
    std::vector<endpoint_load_report> changes;
    for (std::uint32_t i = 0; i < kChanges; ++i) {
      changes.push_back({hashes[i], {.requests = ++requests}, {}, 0});
    }
    exchange.Receive(1, changes);
    exchange.Apply(time_point{}, registry);
  }
}
BENCHMARK(BM_ApplyMessage)->Arg(100)->Arg(1000)->Arg(3000);

}  // namespace tarragon::routing
