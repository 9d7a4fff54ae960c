#include <fmt/format.h>
#include <gtest/gtest.h>

#include <algorithm>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <memory>
#include <optional>
#include <ostream>
#include <ranges>
#include <string>
#include <vector>

#include "emulator/fleet_emulator.h"
#include "emulator/kept_connection.h"

namespace tarragon::emulator {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/** Settings of the emulated gateways and bounds of the platform's rule on planned stops. */
constexpr milliseconds kGrace{8000};
constexpr milliseconds kLossSlack{200};
constexpr milliseconds kEarlyRequest{3000};
constexpr milliseconds kExitTimeout{12000};

struct stop_case {
  std::uint64_t seed = 1;
  milliseconds event_interval{5};
};

void PrintTo(const stop_case& played, std::ostream* out) {
  *out << "seed " << played.seed << ", events every " << played.event_interval.count() << " ms";
}

std::vector<stop_case> StopCases() {
  if (const char* seed = std::getenv("TARRAGON_FLEET_SEED")) {
    const std::uint64_t number = std::stoull(seed);
    return {{number, milliseconds(number % 2 == 0 ? 10 : 30)}};
  }
  return {{1, milliseconds(30)}, {2, milliseconds(10)}};
}

/** Callers that keep their connections, and gateways that are stopped one after the other. */
class planned_stop_test : public testing::TestWithParam<stop_case> {
 protected:
  static constexpr std::size_t kGateways = 3;
  static constexpr std::size_t kConnectionsPerGateway = 16;

  static fleet_options Options() {
    fleet_options options;
    options.gateways = kGateways;
    options.engines = 6;
    options.event_interval = GetParam().event_interval;
    options.seed = GetParam().seed;
    return options;
  }

  std::shared_ptr<caller> MakeRandomRequest() {
    const auto kind = static_cast<call_kind>(fleet.random()() % 4);
    const std::uint64_t events = 1 + fleet.random()() % 200;
    std::shared_ptr<caller> request = fleet.MakeRequest(kind, events);
    request->SetMaxOutput(events + fleet.random()() % 60);
    if (fleet.random()() % 8 == 0) {
      request->OmitSize();
    }
    return request;
  }

  void OpenConnections() {
    connections.resize(kGateways);
    for (std::size_t i = 0; i < kGateways; ++i) {
      for (std::size_t opened = 0; opened < kConnectionsPerGateway; ++opened) {
        connections[i].push_back(std::make_shared<kept_connection>(
            fleet.loop(), time, fleet.gateway(i).callers_address(),
            [this] { return MakeRandomRequest(); },
            [this] { return milliseconds(fleet.random()() % 60); }));
        connections[i].back()->Start();
      }
    }
  }

  void Terminate(std::size_t gateway) {
    terminated_at.at(gateway) = fleet.Now();
    fleet.gateway(gateway).SendSignal(SIGTERM);
  }

  /** @return whether the rule allows that the request has no whole answer. */
  bool IsExcused(const kept_request& sent, time_point terminated) const {
    const bool was_at_work = fleet.record().RunCount(sent.request->id()) > 0;
    if (was_at_work) {
      return sent.sent_at <= terminated + kEarlyRequest &&
             sent.ended_at >= terminated + kGrace * 5 / 6;
    }
    return sent.ended_at <= sent.sent_at + kLossSlack;
  }

  /** @return the requests that a gateway lost around its stop, one line each. */
  std::string DescribeLosses(std::size_t gateway) const {
    const time_point terminated = *terminated_at.at(gateway);
    const auto after_stop = [&](time_point at) {
      return std::chrono::duration_cast<milliseconds>(at - terminated).count();
    };
    std::string losses;
    for (const auto& connection : connections.at(gateway)) {
      for (const kept_request& sent : connection->requests()) {
        if (sent.has_ended && !sent.is_answered && !IsExcused(sent, terminated)) {
          losses +=
              fmt::format("gateway {}: kind {} sent {} ms, ended {} ms after the stop began\n",
                          gateway, static_cast<int>(sent.request->kind()), after_stop(sent.sent_at),
                          after_stop(sent.ended_at));
        }
      }
    }
    return losses;
  }

  real_clock time;
  fleet_emulator fleet{Options()};
  std::vector<std::vector<std::shared_ptr<kept_connection>>> connections;
  std::vector<std::optional<time_point>> terminated_at{kGateways};
};

// Guards against requests that have no whole answer around a planned stop: every kind at once on
// kept connections, sent until the process is gone, at slow engines, in overlapping stops.
TEST_P(planned_stop_test, EveryRequestOnKeptConnectionsIsAnswered) {
  ASSERT_TRUE(fleet.WaitUntilServing());
  OpenConnections();
  fleet.RunFor(seconds(2));
  for (std::size_t i = 0; i < kGateways; ++i) {
    Terminate(i);
    fleet.RunFor(milliseconds(500 + fleet.random()() % 3000));
    fleet.gateway((i + 1) % kGateways).SendSignal(SIGHUP);
    fleet.gateway(i).SendSignal(SIGTERM);
  }
  ASSERT_TRUE(fleet.RunUntil(
      [&] {
        return std::ranges::all_of(std::views::iota(std::size_t{0}, kGateways),
                                   [&](std::size_t i) { return fleet.gateway(i).HasExited(); });
      },
      kExitTimeout));
  fleet.RunFor(milliseconds(100));
  for (std::size_t i = 0; i < kGateways; ++i) {
    EXPECT_EQ(fleet.gateway(i).exit_status(), 0);
    EXPECT_EQ(DescribeLosses(i), "") << "seed " << GetParam().seed;
  }
  EXPECT_EQ(fleet.DescribeViolations(), "") << "seed " << GetParam().seed;
}

// Guards against answers that are cut because the process ends before the kernel has taken them.
TEST(SlowReaderTest, StopWaitsForAnswersThatAreNotSent) {
  constexpr std::size_t kLargeAnswer = std::size_t{3900} << 10;
  fleet_options options;
  options.gateways = 1;
  fleet_emulator fleet(options);
  ASSERT_TRUE(fleet.WaitUntilServing());
  const real_clock time;
  const auto connection = std::make_shared<kept_connection>(
      fleet.loop(), time, fleet.gateway(0).callers_address(),
      [&fleet] {
        auto request = fleet.MakeRequest(call_kind::kCommit, 0);
        request->SetExtraBytes(kLargeAnswer);
        return request;
      },
      [] { return kExitTimeout; });
  connection->ReadAfter(seconds(3));
  connection->Start();
  fleet.RunFor(milliseconds(400));
  fleet.gateway(0).SendSignal(SIGTERM);
  ASSERT_TRUE(fleet.RunUntil([&] { return fleet.gateway(0).HasExited(); }, kExitTimeout));
  EXPECT_TRUE(fleet.RunUntil([&] { return connection->is_idle(); }, seconds(2)));
  ASSERT_EQ(connection->requests().size(), 1U);
  EXPECT_TRUE(connection->requests()[0].is_answered);
  EXPECT_EQ(fleet.DescribeViolations(), "");
}

INSTANTIATE_TEST_SUITE_P(Seeds, planned_stop_test, testing::ValuesIn(StopCases()));

}  // namespace
}  // namespace tarragon::emulator
