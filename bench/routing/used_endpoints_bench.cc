#include "tarragon/routing/used_endpoints.h"

#include <benchmark/benchmark.h>
#include <fmt/format.h>

#include <chrono>
#include <cstdint>

namespace tarragon::routing {

/**
 * Collects the endpoints with own loads at the rate of the exchange, 40 times a second; 100 are
 * used, and the argument is the number of all endpoints.
 */
static void BM_CollectUsedEndpoints(benchmark::State& state) {
  constexpr int kUsed = 100;
  constexpr std::chrono::milliseconds kInterval{25};
  endpoint_registry registry;
  used_endpoints used;
  time_point now{};
  for (std::int64_t i = 0; i < state.range(0); ++i) {
    endpoint_entry entry;
    entry.id = fmt::format("engine-{}", i);
    entry.service = "engines";
    registry.Put(now, 1, entry);
    if (i < kUsed) {
      registry.Find(entry.id)->own_load.requests = 1;
    }
  }
  for ([[maybe_unused]] auto step : state) {
    now += kInterval;
    benchmark::DoNotOptimize(used.Collect(now, registry).size());
  }
}
BENCHMARK(BM_CollectUsedEndpoints)->Arg(100)->Arg(1000)->Arg(3000);

}  // namespace tarragon::routing
