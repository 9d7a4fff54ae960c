#include "tarragon/policy/in_flight_history.h"

#include <benchmark/benchmark.h>

namespace tarragon::policy {
namespace {

void BM_RecordAndAt(benchmark::State& state) {
  in_flight_history history;
  time_point now{std::chrono::hours(1)};
  for (auto _ : state) {
    now += std::chrono::milliseconds(5);
    history.Record(now, 3);
    benchmark::DoNotOptimize(history.At(now - std::chrono::seconds(1)));
  }
}
BENCHMARK(BM_RecordAndAt)->Name("in_flight_history/RecordAndAt");

}  // namespace
}  // namespace tarragon::policy
