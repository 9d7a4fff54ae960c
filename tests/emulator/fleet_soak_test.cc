#include <fmt/format.h>
#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "emulator/fleet_emulator.h"
#include "emulator/kept_connection.h"

namespace tarragon::emulator {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kGateways = 4;
constexpr int kConnectionsPerGateway = 5;
constexpr milliseconds kSettleTime{25000};

/**
 * Seeds run in CI; `TARRAGON_FLEET_SEED` selects another one. From 6 on they have failed before,
 * because the emulator could not bind the port of an endpoint again after a cut.
 */
std::vector<std::uint64_t> SoakSeeds() {
  if (const char* seed = std::getenv("TARRAGON_FLEET_SEED")) {
    return {std::stoull(seed)};
  }
  return {1, 2, 6, 11, 13, 16, 23, 41, 44};
}

/**
 * Real gateways under callers that use their open connections until the process is gone, while
 * signals, restarts, changes and cuts come in series and overlap.
 */
class fleet_soak_test : public testing::TestWithParam<std::uint64_t> {
 protected:
  static fleet_options Options() {
    fleet_options options;
    options.gateways = kGateways;
    options.partitionable_gateways = 1;
    options.seed = GetParam();
    options.has_unframed_streams = GetParam() % 2 == 1;
    options.event_interval = milliseconds(5 + 5 * (GetParam() % 4));
    options.plain_faults = {.lost_responses = 0.03, .declined = 0.05, .errors = 0.03};
    return options;
  }

  std::uint64_t Random(std::uint64_t bound) { return fleet.random()() % bound; }

  /** Runs an action once the loop has run for some further time. */
  void After(milliseconds delay, std::function<void()> action) {
    planned_.push_back({fleet.Now() + delay, std::move(action)});
  }

  void RunPlanned() {
    std::vector<planned_action> due;
    const time_point now = fleet.Now();
    const auto rest = std::ranges::stable_partition(
        planned_, [now](const planned_action& planned) { return planned.at > now; });
    std::ranges::move(rest, std::back_inserter(due));
    planned_.erase(rest.begin(), rest.end());
    std::ranges::for_each(due, [](const planned_action& planned) { planned.action(); });
  }

  void OpenConnections() {
    for (std::size_t i = 0; i < kGateways; ++i) {
      for (int opened = 0; opened < kConnectionsPerGateway; ++opened) {
        connections_.push_back(std::make_shared<kept_connection>(
            fleet.loop(), time_, fleet.gateway(i).callers_address(),
            [this] {
              return fleet.MakeRequest(static_cast<call_kind>(Random(4)), 1 + Random(120));
            },
            [this] { return milliseconds(Random(60)); }));
        connections_.back()->Start();
      }
    }
  }

  void StartIfDown(std::size_t gateway) {
    if (fleet.gateway(gateway).HasExited()) {
      fleet.gateway(gateway).Start();
    }
  }

  void Pause(std::size_t gateway) {
    fleet.gateway(gateway).SendSignal(SIGSTOP);
    After(milliseconds(50 + Random(1500)),
          [this, gateway] { fleet.gateway(gateway).SendSignal(SIGCONT); });
  }

  void ToggleCut() {
    is_cut_off_ = !is_cut_off_;
    fleet.SetCutOff(0, is_cut_off_);
  }

  void DisturbStore() {
    fleet.store().SetState(static_cast<store_state>(1 + Random(3)));
    After(milliseconds(100 + Random(1500)),
          [this] { fleet.store().SetState(store_state::kServing); });
  }

  /** Stops a gateway; it starts again once it has exited. */
  void Terminate(std::size_t gateway) { fleet.gateway(gateway).SendSignal(SIGTERM); }

  void InjectOne() {
    const std::size_t victim = Random(kGateways);
    const std::array<std::function<void()>, 10> kinds = {
        [&] { fleet.gateway(victim).Kill(); },
        [&] { Terminate(victim); },
        [&] { Terminate(victim); },
        [&] { Pause(victim); },
        [&] { fleet.gateway(victim).SendSignal(SIGHUP); },
        [&] { ToggleCut(); },
        [&] { fleet.WriteConfig(); },
        [&] { fleet.CrashEngine(); },
        [&] { fleet.ReplaceEngine(milliseconds(300 + Random(1200))); },
        [&] { DisturbStore(); },
    };
    kinds.at(Random(kinds.size()))();
  }

  /** Ends all disturbances. */
  void Settle() {
    planned_.clear();
    fleet.store().SetState(store_state::kServing);
    if (is_cut_off_) {
      ToggleCut();
    }
    for (std::size_t i = 0; i < kGateways; ++i) {
      fleet.gateway(i).SendSignal(SIGCONT);
      // A gateway that is being stopped would end later.
      fleet.gateway(i).Kill();
      fleet.gateway(i).Start();
    }
  }

  struct planned_action {
    time_point at;
    std::function<void()> action;
  };

  real_clock time_;
  fleet_emulator fleet{Options()};
  std::vector<planned_action> planned_;
  std::vector<std::shared_ptr<kept_connection>> connections_;
  bool is_cut_off_ = false;
};

// Guards against violated guarantees on kept connections under overlapping signals, restarts,
// changes and cuts, and against a fleet that does not serve again afterwards.
TEST_P(fleet_soak_test, KeepsPromisesOnKeptConnections) {
  ASSERT_TRUE(fleet.WaitUntilServing());
  OpenConnections();
  constexpr int kRounds = 40;
  for (int round = 0; round < kRounds; ++round) {
    InjectOne();
    fleet.RunFor(milliseconds(20 + Random(400)));
    RunPlanned();
    for (std::size_t i = 0; i < kGateways; ++i) {
      StartIfDown(i);
    }
    ASSERT_EQ(fleet.DescribeViolations(), "") << "seed " << GetParam() << ", round " << round;
  }
  Settle();
  EXPECT_TRUE(fleet.WaitUntilServing()) << "seed " << GetParam();
  fleet.WriteConfig();
  const std::string newest = fmt::format("config_in_force version={} ", fleet.config_version());
  EXPECT_TRUE(
      fleet.RunUntil([&] { return fleet.FindInLogs(newest).size() == kGateways; }, seconds(5)))
      << "seed " << GetParam();
  std::ranges::for_each(connections_, &kept_connection::Stop);
  EXPECT_TRUE(fleet.RunUntil(
      [&] {
        return std::ranges::all_of(connections_,
                                   [](const auto& connection) { return connection->is_idle(); });
      },
      kSettleTime))
      << "seed " << GetParam();
  EXPECT_EQ(fleet.DescribeViolations(), "") << "seed " << GetParam();
}

INSTANTIATE_TEST_SUITE_P(Seeds, fleet_soak_test, testing::ValuesIn(SoakSeeds()));

}  // namespace
}  // namespace tarragon::emulator
