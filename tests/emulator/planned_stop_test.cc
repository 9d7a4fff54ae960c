#include <fmt/format.h>
#include <gtest/gtest.h>

#include <algorithm>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <iterator>
#include <memory>
#include <optional>
#include <ostream>
#include <ranges>
#include <string>
#include <utility>
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
/** Deadlines are in whole milliseconds, and count from the arrival of the request. */
constexpr milliseconds kClockSlack{5};

/** What the engines do besides their work. */
enum class engine_trouble : std::uint8_t {
  kNone,
  /** Engines fall silent for a moment, but not before the first stop is well under way. */
  kLateSilences,
  /** All engines are full, one is slow, and each of them is silent now and then. */
  kSlowFullAndSilent,
};

struct stop_case {
  std::uint64_t seed = 1;
  milliseconds event_interval{5};
  engine_trouble trouble = engine_trouble::kNone;

  bool has_trouble() const { return trouble != engine_trouble::kNone; }
};

void PrintTo(const stop_case& played, std::ostream* out) {
  *out << "seed " << played.seed << ", events every " << played.event_interval.count()
       << " ms, trouble " << static_cast<int>(played.trouble);
}

std::vector<stop_case> StopCases() {
  if (const char* seed = std::getenv("TARRAGON_FLEET_SEED")) {
    const std::uint64_t number = std::stoull(seed);
    const milliseconds interval(number % 2 == 0 ? 10 : 30);
    return {{number, interval},
            {number, interval, engine_trouble::kLateSilences},
            {number, interval, engine_trouble::kSlowFullAndSilent}};
  }
  return {{1, milliseconds(30)},
          {2, milliseconds(10)},
          {1, milliseconds(30), engine_trouble::kLateSilences},
          {4, milliseconds(10), engine_trouble::kLateSilences},
          {3, milliseconds(30), engine_trouble::kSlowFullAndSilent},
          {4, milliseconds(10), engine_trouble::kSlowFullAndSilent}};
}

/** Callers that keep their connections, and gateways that are stopped one after the other. */
class planned_stop_test : public testing::TestWithParam<stop_case> {
 protected:
  static constexpr std::size_t kGateways = 3;
  static constexpr std::size_t kConnectionsPerGateway = 16;
  static constexpr std::size_t kEngines = 6;
  static constexpr std::uint64_t kLongReport = 900;

  static fleet_options Options() {
    fleet_options options;
    options.gateways = kGateways;
    options.engines = kEngines;
    options.event_interval = GetParam().event_interval;
    options.seed = GetParam().seed;
    if (GetParam().trouble == engine_trouble::kSlowFullAndSilent) {
      options.slow_engines = 1;
      options.engine_slots = 6;
    }
    return options;
  }

  bool MayFallSilent(std::size_t engine) const {
    constexpr milliseconds kUntilLate{6000};
    const bool is_late =
        terminated_at.front() && fleet.Now() >= *terminated_at.front() + kUntilLate;
    const bool is_time = is_late || GetParam().trouble == engine_trouble::kSlowFullAndSilent;
    return GetParam().has_trouble() && is_time && fleet.Now() >= silent_again_at.at(engine);
  }

  /** Runs the fleet; with trouble, engines fall silent at random meanwhile. */
  void RunFor(milliseconds time) {
    constexpr milliseconds kSlice{100};
    constexpr milliseconds kBetweenSilences{7000};
    const time_point end = fleet.Now() + time;
    while (fleet.Now() < end) {
      const std::size_t engine = fleet.random()() % fleet.engine_count();
      if (MayFallSilent(engine) && fleet.random()() % 4 == 0) {
        silent_again_at.at(engine) = fleet.Now() + kBetweenSilences;
        fleet.engine(engine).FallSilent(milliseconds(1000 + fleet.random()() % 400));
      }
      fleet.RunFor(std::min(kSlice, std::chrono::ceil<milliseconds>(end - fleet.Now())));
    }
  }

  bool HaveAllExited() {
    return std::ranges::all_of(std::views::iota(std::size_t{0}, kGateways),
                               [&](std::size_t i) { return fleet.gateway(i).HasExited(); });
  }

  /** @return how many requests were refused in each second after the stop of their gateway. */
  std::string DescribeRefusals() const {
    std::vector<std::pair<int, int>> seconds_after(kGrace / seconds(1));
    for (std::size_t gateway = 0; gateway < kGateways; ++gateway) {
      for (const auto& connection : connections.at(gateway)) {
        for (const kept_request& sent : connection->requests()) {
          const auto second =
              std::chrono::floor<seconds>(sent.sent_at - *terminated_at.at(gateway)).count();
          if (second >= 0 && second < std::ssize(seconds_after) && sent.has_ended) {
            auto& [refused, all] = seconds_after.at(static_cast<std::size_t>(second));
            ++all;
            refused += sent.request->is_refused() ? 1 : 0;
          }
        }
      }
    }
    std::vector<std::string> parts;
    std::ranges::transform(seconds_after, std::back_inserter(parts), [](const auto& second) {
      return fmt::format("{}/{}", second.first, second.second);
    });
    return fmt::format("{}", fmt::join(parts, " "));
  }

  std::shared_ptr<caller> MakeRandomRequest() {
    const auto kind = static_cast<call_kind>(fleet.random()() % 4);
    // In a stop, only short requests are served until late.
    const std::uint64_t longest = GetParam().has_trouble() ? 12 : 200;
    const std::uint64_t events = 1 + fleet.random()() % longest;
    std::shared_ptr<caller> request = fleet.MakeRequest(kind, events);
    request->SetMaxOutput(events + fleet.random()() % (longest * 3 / 10));
    if (GetParam().has_trouble()) {
      request->SetDeadline(milliseconds(1000 + fleet.random()() % 5000));
    }
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
      if (GetParam().has_trouble()) {
        OpenLongConnection(i);
      }
    }
  }

  /** Keeps the process at work until its grace period ends. */
  void OpenLongConnection(std::size_t gateway) {
    connections[gateway].push_back(std::make_shared<kept_connection>(
        fleet.loop(), time, fleet.gateway(gateway).callers_address(),
        [this] { return fleet.MakeRequest(call_kind::kReport, kLongReport); },
        [] { return milliseconds(100); }));
    connections[gateway].back()->Start();
  }

  void Terminate(std::size_t gateway) {
    terminated_at.at(gateway) = fleet.Now();
    fleet.gateway(gateway).SendSignal(SIGTERM);
  }

  /** @return whether the rule allows that the request has no whole answer. */
  bool IsExcused(const kept_request& sent, time_point terminated) const {
    if (sent.ended_at + kClockSlack >= sent.sent_at + sent.request->deadline()) {
      return true;
    }
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
  std::vector<time_point> silent_again_at = std::vector<time_point>(kEngines);
};

// Guards against requests that have no whole answer around a planned stop: every kind at once on
// kept connections, sent until the process is gone, at slow engines, at full ones that are silent
// for a moment, in overlapping stops.
TEST_P(planned_stop_test, EveryRequestOnKeptConnectionsIsAnswered) {
  ASSERT_TRUE(fleet.WaitUntilServing());
  OpenConnections();
  RunFor(seconds(2));
  for (std::size_t i = 0; i < kGateways; ++i) {
    Terminate(i);
    RunFor(milliseconds(500 + fleet.random()() % 3000));
    fleet.gateway((i + 1) % kGateways).SendSignal(SIGHUP);
    fleet.gateway(i).SendSignal(SIGTERM);
  }
  const time_point last_exit = fleet.Now() + kExitTimeout;
  while (!HaveAllExited() && fleet.Now() < last_exit) {
    RunFor(milliseconds(100));
  }
  ASSERT_TRUE(HaveAllExited());
  fleet.RunFor(milliseconds(100));
  fmt::print("refused of all, by seconds after SIGTERM: {}\n", DescribeRefusals());
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
