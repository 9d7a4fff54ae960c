#include "tarragon/routing/pause_predictor.h"

#include <benchmark/benchmark.h>

#include <memory>

namespace tarragon::routing {

static void BM_PredictPauses(benchmark::State& state) {
  std::vector<endpoint_ptr> engines;
  for (int i = 0; i < state.range(0); ++i) {
    auto engine = std::make_shared<endpoint>();
    for (int sample = 0; sample < 32; ++sample) {
      engine->event_interval.Record(time_point{} + std::chrono::milliseconds(50 * sample),
                                    std::chrono::milliseconds(28 + i % 9), 4);
    }
    engine->slowness.Record(time_point{}, 1.0);
    engines.push_back(std::move(engine));
  }
  for ([[maybe_unused]] auto step : state) {
    benchmark::DoNotOptimize(pause_predictor(engines).PredictLongestPause(*engines.front()));
  }
}
BENCHMARK(BM_PredictPauses)->Arg(12)->Arg(64);

}  // namespace tarragon::routing
