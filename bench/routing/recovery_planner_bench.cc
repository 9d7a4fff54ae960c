#include "tarragon/routing/recovery_planner.h"

#include <benchmark/benchmark.h>

namespace tarragon::routing {

static void BM_PlanRecovery(benchmark::State& state) {
  request_progress progress;
  progress.kind = repeat_kind::kStream;
  progress.has_copy = true;
  progress.answer_started = true;
  progress.budget_left = true;
  progress.remaining_time = std::chrono::seconds(5);
  for ([[maybe_unused]] auto step : state) {
    benchmark::DoNotOptimize(
        PlanRecovery(progress, send_failure::kConnectionLost, run_verdict::kMayHaveRun));
  }
}
BENCHMARK(BM_PlanRecovery);

}  // namespace tarragon::routing
