#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <csignal>
#include <memory>
#include <vector>

#include "emulator/fleet_emulator.h"

namespace tarragon::emulator {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kTimeout{20000};
/** Time after which the users hold a gateway that is cut off to its share of served requests. */
constexpr milliseconds kContactTime{3000};
constexpr std::size_t kRequests = 60;
constexpr std::uint64_t kEvents = 40;

using request_list = std::vector<std::shared_ptr<caller>>;

/** A fleet in which the first gateways, their number is the parameter, lose all endpoints. */
class partitioned_gateway_test : public testing::TestWithParam<std::size_t> {
 protected:
  static fleet_options Options(std::size_t partitionable) {
    fleet_options options;
    options.plain_endpoints = 3;
    options.partitionable_gateways = partitionable;
    return options;
  }

  void SetUp() override { ASSERT_TRUE(fleet.WaitUntilServing()); }

  void SetCutOff(bool is_cut_off) {
    for (std::size_t i = 0; i < GetParam(); ++i) {
      fleet.SetCutOff(i, is_cut_off);
    }
  }

  /** Sends requests of all kinds to the gateways that can be cut off. */
  request_list SendRequests() {
    constexpr std::array kKinds = {call_kind::kRead, call_kind::kCommit, call_kind::kTag,
                                   call_kind::kReport};
    request_list sent;
    for (std::size_t i = 0; i < kRequests; ++i) {
      sent.push_back(fleet.SendRequest(kKinds[i % kKinds.size()], kEvents, i % GetParam()));
      fleet.RunFor(milliseconds(10));
    }
    return sent;
  }

  std::size_t CountServed(const request_list& sent) {
    const auto is_done = [](const auto& request) { return request->is_done(); };
    EXPECT_TRUE(fleet.RunUntil([&] { return std::ranges::all_of(sent, is_done); }, kTimeout));
    return static_cast<std::size_t>(
        std::ranges::count_if(sent, [](const auto& request) { return request->is_served(); }));
  }

  fleet_emulator fleet{Options(GetParam())};
};

// Guards against a gateway that refuses what the others serve, because it reaches no endpoint.
TEST_P(partitioned_gateway_test, GatewayWithoutAPathToEndpointsServesThroughOthers) {
  SetCutOff(true);
  SendRequests();
  fleet.RunFor(kContactTime);
  EXPECT_EQ(CountServed(SendRequests()), kRequests);
  EXPECT_EQ(fleet.DescribeViolations(), "");
}

// Guards against a gateway that goes on loading others after its path has come back.
TEST_P(partitioned_gateway_test, GatewayUsesItsOwnPathAgain) {
  SetCutOff(true);
  SendRequests();
  SetCutOff(false);
  EXPECT_TRUE(fleet.RunUntil(
      [&] { return fleet.FindInLogs("endpoint_path_regained").size() == GetParam(); }, kTimeout));
  EXPECT_EQ(CountServed(SendRequests()), kRequests);
  EXPECT_EQ(fleet.DescribeViolations(), "");
}

/** Streams without a length, which reach their gateway through two others. */
class killed_carrier_test : public testing::Test {
 protected:
  static fleet_options Options() {
    fleet_options options;
    options.partitionable_gateways = 1;
    options.has_unframed_streams = true;
    options.event_interval = milliseconds(30);
    return options;
  }

  void SetUp() override {
    ASSERT_TRUE(fleet.WaitUntilServing());
    fleet.SetCutOff(0, true);
    // Finds out that the path is lost, and which others carry.
    for (int i = 0; i < 6; ++i) {
      fleet.SendRequest(call_kind::kReport, 1, 0);
      fleet.RunFor(milliseconds(100));
    }
  }

  request_list BeginStreams() {
    request_list sent;
    for (int i = 0; i < 12; ++i) {
      sent.push_back(fleet.SendRequest(call_kind::kReport, kEvents, 0));
      fleet.RunFor(milliseconds(20));
    }
    fleet.RunFor(milliseconds(400));
    return sent;
  }

  std::size_t CountServed(const request_list& sent) {
    const auto is_done = [](const auto& request) { return request->is_done(); };
    EXPECT_TRUE(fleet.RunUntil([&] { return std::ranges::all_of(sent, is_done); }, kTimeout));
    return static_cast<std::size_t>(
        std::ranges::count_if(sent, [](const auto& request) { return request->is_served(); }));
  }

  fleet_emulator fleet{Options()};
};

// Guards against a stream that is cut off and looks complete because the gateway that carries its
// connection was killed: the kernel closes the sockets of a killed process in order.
TEST_F(killed_carrier_test, StreamThroughAKilledGatewayDoesNotLookComplete) {
  const request_list sent = BeginStreams();
  fleet.gateway(1).Kill();
  EXPECT_LT(CountServed(sent), sent.size());
  EXPECT_EQ(fleet.DescribeViolations(), "");
}

// Guards against cutting off sound streams that reach their gateway through others.
TEST_F(killed_carrier_test, StreamThroughAnotherGatewayEndsWithItsConnection) {
  const request_list sent = BeginStreams();
  EXPECT_EQ(CountServed(sent), sent.size());
  EXPECT_EQ(fleet.DescribeViolations(), "");
}

// Guards against a stream that looks complete because its carrier was stopped while it was under
// way, and against a carrier that cuts off what still fits into its grace period.
TEST_F(killed_carrier_test, StreamThroughAStoppedGatewayIsServed) {
  const request_list sent = BeginStreams();
  fleet.gateway(1).SendSignal(SIGTERM);
  EXPECT_EQ(CountServed(sent), sent.size());
  EXPECT_EQ(fleet.DescribeViolations(), "");
}

INSTANTIATE_TEST_SUITE_P(CutOff, partitioned_gateway_test, testing::Values(1, 2));

}  // namespace
}  // namespace tarragon::emulator
