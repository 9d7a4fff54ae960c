#include <gtest/gtest.h>

#include <algorithm>
#include <chrono>
#include <csignal>
#include <memory>
#include <string>
#include <vector>

#include "emulator/fleet_emulator.h"

namespace tarragon::emulator {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kTimeout{20000};
constexpr std::uint64_t kEvents = 160;
constexpr std::size_t kNewEngines = 5;

using stream_list = std::vector<std::shared_ptr<caller>>;

std::size_t CountServed(const stream_list& streams) {
  return static_cast<std::size_t>(
      std::ranges::count_if(streams, [](const auto& sent) { return sent->is_served(); }));
}

/** A fleet whose engines are of two software versions. */
class software_version_test : public testing::Test {
 protected:
  void SetUp() override {
    ASSERT_TRUE(fleet.WaitUntilServing());
    fleet.SetSoftwareVersion("v2");
    for (std::size_t i = 0; i < kNewEngines; ++i) {
      newest = fleet.AddEngine();
    }
    ASSERT_TRUE(fleet.RunUntil(
        [&] { return fleet.FindInLogs("endpoint_listed endpoint=" + newest).size() == 3; },
        kTimeout));
    fleet.RunFor(milliseconds(1000));
  }

  /** Begins streams at a gateway, and waits until each of them has brought events. */
  stream_list BeginStreams(call_kind kind, std::size_t count, std::size_t gateway) {
    stream_list streams;
    for (std::size_t i = 0; i < count; ++i) {
      streams.push_back(fleet.SendRequest(kind, kEvents, gateway));
      fleet.RunFor(milliseconds(5));
    }
    const auto has_begun = [](const auto& sent) { return sent->last_event() > 0; };
    EXPECT_TRUE(fleet.RunUntil([&] { return std::ranges::all_of(streams, has_begun); }, kTimeout));
    return streams;
  }

  stream_list TakeUp(const stream_list& broken, std::size_t gateway) {
    stream_list taken_up;
    std::ranges::transform(broken, std::back_inserter(taken_up), [&](const auto& sent) {
      EXPECT_FALSE(sent->is_served());
      return fleet.TakeUp(*sent, gateway);
    });
    return taken_up;
  }

  void Finish() {
    const auto is_done = [](const auto& sent) { return sent->is_done(); };
    EXPECT_TRUE(
        fleet.RunUntil([&] { return std::ranges::all_of(fleet.callers(), is_done); }, kTimeout));
    EXPECT_EQ(fleet.DescribeViolations(), "");
  }

  fleet_emulator fleet{fleet_options{}};
  std::string newest;
};

// Guards against streams that a daemon goes on with at another version after an engine has crashed.
TEST_F(software_version_test, BrokenStreamsGoOnAtTheirVersion) {
  const stream_list streams = BeginStreams(call_kind::kTag, 24, 0);
  fleet.StopEngine(0);
  fleet.StopEngine(fleet.engine_count() - 1);
  Finish();
  EXPECT_GE(CountServed(streams), streams.size() * 3 / 4);
}

// Guards against copies and backups of a stream at engines of another version.
TEST_F(software_version_test, CopiedStreamsGoOnAtTheirVersion) {
  constexpr std::size_t kLeaving = 3;
  const stream_list streams = BeginStreams(call_kind::kReport, 16, 0);
  for (std::size_t i = 0; i < kLeaving; ++i) {
    fleet.PublishEngine(i, /*leaving=*/true);
  }
  fleet.RunFor(milliseconds(300));
  for (std::size_t i = 0; i < kLeaving; ++i) {
    fleet.StopEngine(0);
  }
  Finish();
  EXPECT_GE(CountServed(streams), streams.size() * 3 / 4);
}

// Guards against streams that are joined from two versions when callers take them up at a daemon
// that did not begin them, and against refusing all of these.
TEST_F(software_version_test, StreamsOfAKilledDaemonAreTakenUpAtTheirVersion) {
  const stream_list streams = BeginStreams(call_kind::kTag, 24, 0);
  fleet.gateway(0).Kill();
  fleet.RunFor(milliseconds(50));
  const stream_list taken_up = TakeUp(streams, 1);
  Finish();
  EXPECT_GE(CountServed(taken_up), taken_up.size() * 3 / 4);
}

// Same after all daemons were killed at once.
TEST_F(software_version_test, StreamsAreTakenUpAtTheirVersionAfterAllDaemonsWereKilled) {
  const stream_list streams = BeginStreams(call_kind::kTag, 24, 0);
  fleet.RestartGateways();
  ASSERT_TRUE(fleet.WaitUntilServing());
  const stream_list taken_up = TakeUp(streams, 1);
  Finish();
  EXPECT_GE(CountServed(taken_up), taken_up.size() * 3 / 4);
}

// Same if the engines of one version have left before the daemons are back.
TEST_F(software_version_test, StreamsOfAVersionThatHasLeftAreRefusedAtOnce) {
  const stream_list streams = BeginStreams(call_kind::kTag, 24, 0);
  ASSERT_TRUE(fleet.RunUntil([&] { return fleet.store().CountStreamRecords() >= streams.size(); },
                             kTimeout));
  fleet.StopEngines("v1");
  fleet.RestartGateways();
  ASSERT_TRUE(fleet.WaitUntilServing());
  const time_point start = fleet.Now();
  const stream_list taken_up = TakeUp(streams, 1);
  Finish();
  EXPECT_LE(fleet.Now() - start, milliseconds(2000));
  for (const auto& sent : taken_up) {
    const bool can_go_on = sent->software_version() == "v2";
    EXPECT_EQ(sent->is_served(), can_go_on) << sent->id();
    EXPECT_EQ(sent->is_refused(), !can_go_on) << sent->id();
  }
}

// Guards against a daemon that was out of step while a version joined, and that goes on with its
// streams at another version or takes the new one for gone.
TEST_F(software_version_test, DaemonThatStoodStillGoesOnWithStreamsOfANewVersion) {
  fleet.gateway(1).SendSignal(SIGSTOP);
  fleet.SetSoftwareVersion("v3");
  for (std::size_t i = 0; i < kNewEngines; ++i) {
    newest = fleet.AddEngine();
  }
  ASSERT_TRUE(fleet.RunUntil(
      [&] { return fleet.FindInLogs("endpoint_listed endpoint=" + newest).size() == 2; },
      kTimeout));
  fleet.RunFor(milliseconds(4000));
  const stream_list streams = BeginStreams(call_kind::kTag, 24, 0);
  fleet.RunFor(milliseconds(100));
  fleet.gateway(0).Kill();
  fleet.gateway(1).SendSignal(SIGCONT);
  const stream_list taken_up = TakeUp(streams, 1);
  Finish();
  EXPECT_GE(CountServed(taken_up), taken_up.size() * 3 / 4);
}

// Guards against a take-up that is sent to any version because nobody knows the stream.
TEST_F(software_version_test, UnknownStreamIsRefused) {
  const std::shared_ptr<caller> sent = fleet.MakeRequest(call_kind::kTag, kEvents);
  sent->TakeUp("0123456789abcdef", 3, "v1");
  sent->Send(fleet.gateway(1).callers_address());
  Finish();
  EXPECT_TRUE(sent->is_refused());
}

}  // namespace
}  // namespace tarragon::emulator
