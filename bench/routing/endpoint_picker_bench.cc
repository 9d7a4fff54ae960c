#include "tarragon/routing/endpoint_picker.h"

#include <benchmark/benchmark.h>
#include <fmt/format.h>

namespace tarragon::routing {

static void BM_Pick(benchmark::State& state) {
  const time_point now{};
  endpoint_registry registry;
  for (int i = 0; i < state.range(0); ++i) {
    endpoint_entry entry;
    entry.id = fmt::format("endpoint-{}", i);
    entry.service = "s";
    entry.failure_domain = "d";
    entry.slots = 24;
    registry.Put(now, 1, entry);
    registry.Find(entry.id)->own_load = {static_cast<std::uint32_t>(i % 7), 4000, 100};
  }
  const engine_limits engine{24, 34000, true, true};
  pick_request request;
  request.service = "s";
  request.size = {3000, 900, 2000};
  request.engine = &engine;
  const endpoint_picker picker;
  for ([[maybe_unused]] auto step : state) {
    benchmark::DoNotOptimize(picker.Pick(now, registry, request));
  }
}
BENCHMARK(BM_Pick)->Arg(12)->Arg(64);

}  // namespace tarragon::routing
