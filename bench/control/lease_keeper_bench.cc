#include "tarragon/control/lease_keeper.h"

#include <benchmark/benchmark.h>

namespace tarragon::control {
namespace {

void BM_RenewAndCheck(benchmark::State& state) {
  const lease_options options;
  lease_keeper keeper("a", options);
  time_point now{std::chrono::hours(1)};
  benchmark::DoNotOptimize(keeper.NextCall(now));
  keeper.OnRead(now, store::store_error::kNotFound);
  std::uint64_t version = 0;
  for (auto _ : state) {
    benchmark::DoNotOptimize(keeper.NextCall(now));
    keeper.OnWritten(now, ++version);
    benchmark::DoNotOptimize(keeper.IsHeldFor(now, duration::zero()));
    now += options.renew_interval;
  }
}
BENCHMARK(BM_RenewAndCheck);

}  // namespace
}  // namespace tarragon::control
