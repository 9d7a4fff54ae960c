#include <fmt/format.h>
#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <csignal>
#include <functional>
#include <iterator>
#include <memory>
#include <ranges>
#include <string>
#include <vector>

#include "emulator/fleet_emulator.h"
#include "emulator/kept_connection.h"

namespace tarragon::emulator {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr milliseconds kTimeout{20000};
constexpr milliseconds kExitTimeout{12000};
/** Time after the acknowledgement of a configuration within which it is in force everywhere. */
constexpr milliseconds kConfigApplyTime{2000};
constexpr std::uint64_t kEvents = 40;

using request_list = std::vector<std::shared_ptr<caller>>;

/** Gateways of the version in production and of the current one, side by side. */
class upgrade_test : public testing::Test {
 protected:
  void Begin(const fleet_options& options) {
    if (!HasProductionBuild()) {
      GTEST_SKIP() << "the version in production is not in the history of this checkout";
    }
    fleet = std::make_unique<fleet_emulator>(options);
    ASSERT_TRUE(fleet->WaitUntilServing());
  }

  /** Three gateways, of which the first `production` run the version in production. */
  static fleet_options MixedTunnels(std::size_t production, bool has_unframed_streams) {
    fleet_options options;
    options.production_gateways = production;
    options.partitionable_gateways = 1;
    options.plain_endpoints = 3;
    options.has_unframed_streams = has_unframed_streams;
    options.event_interval = milliseconds(30);
    return options;
  }

  /** Cuts the first gateway off from all endpoints, and lets it find out. */
  void CutOffFirst() {
    fleet->SetCutOff(0, true);
    for (int i = 0; i < 6; ++i) {
      fleet->SendRequest(call_kind::kRead, 0, 0);
      fleet->SendRequest(call_kind::kReport, 1, 0);
      fleet->RunFor(milliseconds(100));
    }
  }

  /** @return how many tunnels the first gateway has opened at each gateway. */
  std::vector<std::size_t> CountTunnels() const {
    std::vector<std::size_t> counts;
    std::ranges::transform(
        std::views::iota(std::size_t{0}, fleet->gateway_count()), std::back_inserter(counts),
        [this](std::size_t i) {
          return fleet->CountInLog(
              0, fmt::format("event=tunnel_opened daemon={} ", fleet->gateway(i).peer_address()));
        });
    return counts;
  }

  /**
   * Sends streams through tunnels of the first gateway, kills the one that carries most, and
   * expects that the first one finds streams broken off. It may go on with them from copies.
   */
  void SendAndKillTheCarrier() {
    const std::vector<std::size_t> before = CountTunnels();
    const request_list sent = Send(call_kind::kReport, 12);
    fleet->RunFor(milliseconds(400));
    std::vector<std::size_t> carried = CountTunnels();
    std::ranges::transform(carried, before, carried.begin(), std::minus());
    const auto carrier = std::ranges::max_element(carried);
    ASSERT_GT(*carrier, 0U);
    const std::string broken_off = "cause=connection_lost";
    const std::size_t broken_before = fleet->CountInLog(0, broken_off);
    fleet->gateway(static_cast<std::size_t>(carrier - carried.begin())).Kill();
    const std::size_t served = CountServed(sent);
    EXPECT_GT(fleet->CountInLog(0, broken_off), broken_before) << served << " served";
  }

  request_list Send(call_kind kind, int count) {
    request_list sent;
    for (int i = 0; i < count; ++i) {
      sent.push_back(fleet->SendRequest(kind, kEvents, 0));
      fleet->RunFor(milliseconds(20));
    }
    return sent;
  }

  std::size_t CountServed(const request_list& sent) {
    const auto is_done = [](const auto& request) { return request->is_done(); };
    EXPECT_TRUE(fleet->RunUntil([&] { return std::ranges::all_of(sent, is_done); }, kTimeout));
    return static_cast<std::size_t>(
        std::ranges::count_if(sent, [](const auto& request) { return request->is_served(); }));
  }

  std::unique_ptr<fleet_emulator> fleet;
};

// Guards against a gateway in production that takes the end of a killed or stopped gateway of this
// version, which carries its connections, for the end of a response.
TEST_F(upgrade_test, ProductionSeesThatItsCarrierWasKilled) {
  ASSERT_NO_FATAL_FAILURE(Begin(MixedTunnels(1, /*has_unframed_streams=*/true)));
  if (!fleet) {
    return;
  }
  CutOffFirst();
  SendAndKillTheCarrier();
  EXPECT_EQ(fleet->DescribeViolations(), "");
}

// Guards against cutting off what a gateway of this version carries for one in production.
TEST_F(upgrade_test, ProductionIsServedThroughThisVersion) {
  ASSERT_NO_FATAL_FAILURE(Begin(MixedTunnels(1, /*has_unframed_streams=*/true)));
  if (!fleet) {
    return;
  }
  CutOffFirst();
  request_list sent = Send(call_kind::kReport, 6);
  std::ranges::copy(Send(call_kind::kCommit, 6), std::back_inserter(sent));
  std::ranges::copy(Send(call_kind::kTag, 6), std::back_inserter(sent));
  EXPECT_EQ(CountServed(sent), sent.size());
  EXPECT_EQ(fleet->DescribeViolations(), "");
}

/** Same, but the gateway that is cut off runs this version and the others that in production. */
class upgraded_first_test : public upgrade_test {
 protected:
  void BeginUpgraded(bool has_unframed_streams) {
    fleet_options options = MixedTunnels(3, has_unframed_streams);
    ASSERT_NO_FATAL_FAILURE(Begin(options));
    if (fleet) {
      fleet->gateway(0).Kill();
      fleet->gateway(0).Start(gateway_build::kCurrent);
      ASSERT_TRUE(fleet->WaitUntilServing());
      CutOffFirst();
    }
  }
};

// Guards against taking the end of a killed gateway in production for the end of a response.
TEST_F(upgraded_first_test, StreamThroughAKilledProductionGatewayDoesNotLookComplete) {
  ASSERT_NO_FATAL_FAILURE(BeginUpgraded(/*has_unframed_streams=*/true));
  if (!fleet) {
    return;
  }
  SendAndKillTheCarrier();
  EXPECT_EQ(fleet->DescribeViolations(), "");
}

// Guards against an upgraded gateway that refuses what gateways in production carry whole.
TEST_F(upgraded_first_test, IsServedThroughProduction) {
  ASSERT_NO_FATAL_FAILURE(BeginUpgraded(/*has_unframed_streams=*/false));
  if (!fleet) {
    return;
  }
  request_list sent = Send(call_kind::kReport, 6);
  std::ranges::copy(Send(call_kind::kCommit, 6), std::back_inserter(sent));
  std::ranges::copy(Send(call_kind::kTag, 6), std::back_inserter(sent));
  EXPECT_EQ(CountServed(sent), sent.size());
  EXPECT_EQ(fleet->DescribeViolations(), "");
}

// Guards against requests that are lost while gateways in production are stopped one after the
// other and come back with this version, and against configurations that one of the versions
// misses.
TEST_F(upgrade_test, RollingUpgradeKeepsPromises) {
  fleet_options options;
  options.gateways = 4;
  options.production_gateways = 4;
  ASSERT_NO_FATAL_FAILURE(Begin(options));
  if (!fleet) {
    return;
  }
  const real_clock time;
  std::vector<std::shared_ptr<kept_connection>> connections;
  for (std::size_t i = 0; i < options.gateways; ++i) {
    for (int opened = 0; opened < 6; ++opened) {
      connections.push_back(std::make_shared<kept_connection>(
          fleet->loop(), time, fleet->gateway(i).callers_address(),
          [this] {
            return fleet->MakeRequest(static_cast<call_kind>(fleet->random()() % 4),
                                      1 + fleet->random()() % 60);
          },
          [this] { return milliseconds(fleet->random()() % 60); }));
      connections.back()->Start();
    }
  }
  for (std::size_t i = 0; i < options.gateways; ++i) {
    fleet->RunFor(milliseconds(500));
    fleet->gateway(i).SendSignal(SIGTERM);
    ASSERT_TRUE(fleet->RunUntil([&] { return fleet->gateway(i).HasExited(); }, kExitTimeout));
    EXPECT_EQ(fleet->gateway(i).exit_status(), 0);
    fleet->gateway(i).Start(gateway_build::kCurrent);
    fleet->WriteConfig();
    const std::string newest = fmt::format("config_in_force version={} ", fleet->config_version());
    fleet->RunUntil([&] { return fleet->FindInLogs(newest).size() == options.gateways; },
                    kConfigApplyTime);
    EXPECT_EQ(fleet->FindInLogs(newest).size(), options.gateways) << "after gateway " << i;
  }
  std::ranges::for_each(connections, &kept_connection::Stop);
  EXPECT_TRUE(fleet->RunUntil(
      [&] {
        return std::ranges::all_of(connections,
                                   [](const auto& connection) { return connection->is_idle(); });
      },
      kTimeout));
  EXPECT_EQ(fleet->DescribeViolations(), "");
}

// Guards against a version that cannot read what the other one relays: of so many gateways, few
// read the store themselves.
TEST_F(upgrade_test, RelaysBetweenTheVersions) {
  constexpr std::size_t kGateways = 20;
  fleet_options options;
  options.gateways = kGateways;
  options.production_gateways = kGateways / 2;
  ASSERT_NO_FATAL_FAILURE(Begin(options));
  if (!fleet) {
    return;
  }
  ASSERT_TRUE(fleet->RunUntil([&] { return !fleet->FindInLogs("event=relay_follower").empty(); },
                              kTimeout));
  fleet->RunFor(seconds(3));
  for (int i = 0; i < 3; ++i) {
    fleet->WriteConfig();
    const std::string newest = fmt::format("config_in_force version={} ", fleet->config_version());
    fleet->RunUntil([&] { return fleet->FindInLogs(newest).size() == kGateways; },
                    kConfigApplyTime);
    EXPECT_EQ(fleet->FindInLogs(newest).size(), kGateways) << newest;
  }
  EXPECT_TRUE(fleet->FindInLogs("event=relay_gap").empty());
  EXPECT_EQ(fleet->DescribeViolations(), "");
}

}  // namespace
}  // namespace tarragon::emulator
