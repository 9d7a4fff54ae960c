#include "tarragon/policy/account_limiter.h"

#include <benchmark/benchmark.h>

#include <string>
namespace tarragon::policy {
namespace {

constexpr std::uint64_t kAccounts = 1300;

account_limiter MakeLimiter(std::size_t peers) {
  account_limiter limiter;
  for (std::uint64_t i = 0; i < kAccounts; ++i) {
    limiter.SetRate({i}, 100);
  }
  for (std::size_t peer = 0; peer < peers; ++peer) {
    limiter.SetPeerDemand(std::to_string(peer), {{{peer % kAccounts}, 5.0}});
  }
  return limiter;
}

void BM_Admit(benchmark::State& state) {
  account_limiter limiter = MakeLimiter(390);
  time_point now{std::chrono::hours(1)};
  std::uint64_t account = 0;
  for (auto _ : state) {
    account = (account + 1) % kAccounts;
    now += std::chrono::microseconds(100);
    benchmark::DoNotOptimize(limiter.Admit(now, {account}));
  }
}
BENCHMARK(BM_Admit)->Name("account_limiter/Admit1300Accounts");

/** Replaces one peer's report of 40 accounts. */
void BM_SetPeerDemand(benchmark::State& state) {
  account_limiter limiter = MakeLimiter(390);
  std::vector<account_demand> demand;
  for (std::uint64_t i = 0; i < 40; ++i) {
    demand.push_back({{i * 31 % kAccounts}, 3.0});
  }
  for (auto _ : state) {
    limiter.SetPeerDemand("7", demand);
  }
}
BENCHMARK(BM_SetPeerDemand)->Name("account_limiter/SetPeer40Accounts");

}  // namespace
}  // namespace tarragon::policy
