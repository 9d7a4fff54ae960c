#include "tarragon/routing/endpoint_registry.h"

#include <benchmark/benchmark.h>
#include <fmt/format.h>

#include <cstdint>

namespace tarragon::routing {

/** Reads a list for the first time; the argument is the number of endpoints. */
static void BM_ReadList(benchmark::State& state) {
  for ([[maybe_unused]] auto step : state) {
    endpoint_registry registry;
    for (std::int64_t i = 0; i < state.range(0); ++i) {
      endpoint_entry entry;
      entry.id = fmt::format("engine-{}", i);
      entry.service = "engines";
      registry.Put(time_point{}, 1, entry);
    }
  }
}
BENCHMARK(BM_ReadList)->Arg(100)->Arg(1000)->Arg(3000)->Unit(benchmark::kMillisecond);

/** Validates a list whose endpoints belong to one service; the argument is their number. */
static void BM_Validate(benchmark::State& state) {
  endpoint_registry registry;
  for (std::int64_t i = 0; i < state.range(0); ++i) {
    endpoint_entry entry;
    entry.id = fmt::format("engine-{}", i);
    entry.service = "engines";
    registry.Put(time_point{}, 1, entry);
  }
  for ([[maybe_unused]] auto step : state) {
    registry.Validate();
  }
}
BENCHMARK(BM_Validate)->Arg(100)->Arg(1000)->Arg(3000)->Unit(benchmark::kMicrosecond);

}  // namespace tarragon::routing
