#include "tarragon/policy/length_estimator.h"

#include <benchmark/benchmark.h>

namespace tarragon::policy {
namespace {

constexpr std::uint64_t kAccounts = 1300;

void BM_Predict(benchmark::State& state) {
  length_estimator estimator;
  for (std::uint64_t i = 0; i < 50 * kAccounts; ++i) {
    estimator.Record("report", {i % kAccounts}, static_cast<std::uint32_t>(1 + (i * 37) % 4000));
  }
  std::uint64_t account = 0;
  for (auto _ : state) {
    account = (account + 1) % kAccounts;
    benchmark::DoNotOptimize(estimator.Predict("report", {account}, 100, 0.9));
  }
}
BENCHMARK(BM_Predict)->Name("length_estimator/Predict1300Accounts");

}  // namespace
}  // namespace tarragon::policy
