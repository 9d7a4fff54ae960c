#include <benchmark/benchmark.h>
#include <fmt/format.h>

#include <cstdint>
#include <string>
#include <vector>

#include "decision/engine_driver.h"

namespace tarragon::decision {

namespace {

constexpr int kEndpoints = 64;
constexpr int kAccounts = 1300;

void AddAccounts(engine_driver& driver) {
  driver.contents().accounts.clear();
  for (int i = 0; i < kAccounts; ++i) {
    driver.contents().accounts.push_back(
        {.name = fmt::format("account-{}", i), .weight = 1, .token_sha256 = {}});
  }
  driver.PublishDocument();
}

/** One request from arrival to end, with `range(0)` others in flight and selector `range(1)`. */
void BM_RouteRequest(benchmark::State& state) {
  engine_options options;
  options.selector = static_cast<selector_choice>(state.range(1));
  engine_driver driver(kEndpoints, options);
  AddAccounts(driver);
  for (int i = 0; i < state.range(0); ++i) {
    driver.StartAccepted(driver.MakeGeneration("restart"));
  }
  std::vector<action> actions;
  std::uint64_t count = 0;
  for (auto _ : state) {
    request_properties properties = driver.MakeGeneration("restart");
    properties.account = fmt::format("account-{}", ++count % kAccounts);
    actions.clear();
    driver.engine().HandleEvent(driver.now(), request_arrived{properties}, actions);
    const attempt_id attempt = std::get<send_attempt>(actions.front()).attempt;
    driver.engine().HandleEvent(driver.now(), attempt_accepted{attempt}, actions);
    driver.engine().HandleEvent(driver.now(), attempt_finished{attempt, 0, "stop"}, actions);
  }
  state.SetItemsProcessed(state.iterations());
}
BENCHMARK(BM_RouteRequest)->ArgsProduct({{0, 136}, {0, 1, 2}});

/** Cost per token, which must not depend on the output length. */
void BM_Token(benchmark::State& state) {
  engine_driver driver(kEndpoints);
  const auto length = static_cast<std::uint32_t>(state.range(0));
  std::vector<action> actions;
  for (auto _ : state) {
    state.PauseTiming();
    const send_attempt sent = driver.StartAccepted(driver.MakeGeneration("restart"));
    state.ResumeTiming();
    for (std::uint32_t i = 0; i < length; ++i) {
      actions.clear();
      driver.engine().HandleEvent(
          driver.now(), token_received{sent.attempt, sent.generation, i, "token"}, actions);
      benchmark::DoNotOptimize(actions.data());
    }
    state.PauseTiming();
    driver.HandleEvent(attempt_finished{sent.attempt, length, "stop"});
    state.ResumeTiming();
  }
  state.SetItemsProcessed(state.iterations() * state.range(0));
}
BENCHMARK(BM_Token)->Arg(100)->Arg(10000)->Arg(50000);

/** A tick with 136 streams, the number per entry at the fleet size expected in two years. */
void BM_Tick(benchmark::State& state) {
  engine_driver driver(kEndpoints);
  AddAccounts(driver);
  for (int i = 0; i < 136; ++i) {
    driver.StartAccepted(driver.MakeGeneration("restart"));
  }
  std::vector<action> actions;
  for (auto _ : state) {
    actions.clear();
    driver.engine().HandleEvent(driver.now(), tick{}, actions);
  }
}
BENCHMARK(BM_Tick);

}  // namespace

}  // namespace tarragon::decision
