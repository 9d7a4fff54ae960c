#include <fmt/format.h>
#include <gtest/gtest.h>

#include <algorithm>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "emulator/fleet_emulator.h"

namespace tarragon::emulator {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kRoundTime{60};
constexpr milliseconds kTimeout{25000};
constexpr std::size_t kPartitionable = 2;

std::vector<std::uint64_t> Seeds() {
  const char* const chosen = std::getenv("TARRAGON_FLEET_SEED");
  return chosen != nullptr ? std::vector<std::uint64_t>{std::stoull(chosen)}
                           : std::vector<std::uint64_t>{1, 2, 3};
}

/** Random faults while engines of changing software versions serve and callers take up streams. */
class mixed_versions_run : public testing::TestWithParam<std::uint64_t> {
 protected:
  std::size_t AnyGateway() { return fleet.random()() % fleet.gateway_count(); }

  void SendStreams() {
    fleet.SendRequest(call_kind::kReport, 20 + fleet.random()() % 100, AnyGateway());
    for (int i = 0; i < 3; ++i) {
      fleet.SendRequest(call_kind::kTag, 4 + fleet.random()() % 60, AnyGateway());
    }
  }

  /** Takes up each stream that has broken off after its first event, once. */
  void TakeUpBrokenStreams() {
    const std::vector<std::shared_ptr<caller>> sent = fleet.callers();
    for (const std::shared_ptr<caller>& stream : sent) {
      const bool is_broken = stream->kind() == call_kind::kTag && stream->is_done() &&
                             !stream->is_served() && !stream->is_refused() &&
                             stream->last_event() > 0;
      if (is_broken && taken_up.insert(stream->id()).second) {
        fleet.TakeUp(*stream, AnyGateway());
      }
    }
  }

  void InjectFault() {
    constexpr std::uint64_t kFaults = 9;
    gateway_child& victim = fleet.gateway(AnyGateway());
    switch (fleet.random()() % kFaults) {
      case 0:
        fleet.SetSoftwareVersion(fmt::format("v{}", 1 + fleet.random()() % 3));
        break;
      case 1:
        fleet.RestartGateways();
        break;
      case 2:
        victim.Kill();
        victim.Start();
        break;
      case 3:
        fleet.store().SetState(static_cast<store_state>(fleet.random()() % 4));
        break;
      case 4:
        fleet.store().SetState(store_state::kServing);
        break;
      case 5:
        fleet.CrashEngine();
        break;
      case 6:
        victim.SendSignal(SIGSTOP);
        fleet.RunFor(milliseconds(100 + fleet.random()() % 500));
        victim.SendSignal(SIGCONT);
        break;
      case 7:
        ToggleCut(fleet.random()() % kPartitionable);
        break;
      default:
        fleet.ReplaceEngine(milliseconds(200 + fleet.random()() % 800));
        break;
    }
  }

  /** Cuts a gateway off from all endpoints, or ends its cut. */
  void ToggleCut(std::size_t gateway) {
    const bool is_cut_off = !cut_off.erase(gateway);
    if (is_cut_off) {
      cut_off.insert(gateway);
    }
    fleet.SetCutOff(gateway, is_cut_off);
  }

  static fleet_options MakeOptions() {
    fleet_options options;
    options.partitionable_gateways = kPartitionable;
    options.seed = GetParam();
    return options;
  }

  fleet_emulator fleet{MakeOptions()};
  std::set<std::string> taken_up;
  std::set<std::size_t> cut_off;
};

// Guards against streams that are joined from two versions by any order of releases, kills of one
// or all daemons, outages of the store, cuts of daemons from the endpoints and take-ups.
TEST_P(mixed_versions_run, NoStreamHoldsTwoVersions) {
  constexpr int kRounds = 40;
  ASSERT_TRUE(fleet.WaitUntilServing());
  for (int round = 0; round < kRounds; ++round) {
    SendStreams();
    fleet.RunFor(kRoundTime);
    InjectFault();
    fleet.RunFor(kRoundTime);
    TakeUpBrokenStreams();
    ASSERT_EQ(fleet.DescribeViolations(), "") << "seed " << GetParam() << ", round " << round;
  }
  fleet.store().SetState(store_state::kServing);
  while (!cut_off.empty()) {
    ToggleCut(*cut_off.begin());
  }
  EXPECT_TRUE(fleet.WaitUntilServing()) << "seed " << GetParam();
  const auto is_done = [](const auto& sent) { return sent->is_done(); };
  EXPECT_TRUE(
      fleet.RunUntil([&] { return std::ranges::all_of(fleet.callers(), is_done); }, kTimeout))
      << "seed " << GetParam();
  EXPECT_EQ(fleet.DescribeViolations(), "") << "seed " << GetParam();
}

INSTANTIATE_TEST_SUITE_P(Seeds, mixed_versions_run, testing::ValuesIn(Seeds()));

}  // namespace
}  // namespace tarragon::emulator
