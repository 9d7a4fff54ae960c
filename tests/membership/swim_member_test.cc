#include "tarragon/membership/swim_member.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <string>

#include "membership/fake_network.h"

namespace tarragon::membership {
namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

constexpr std::uint64_t kSeed = 20261204;

/** Ends the loss for long enough to refute suspicions, which are no fault while datagrams get lost.
 */
void Settle(fake_network& network) {
  network.SetFaults({});
  network.Run(seconds(10));
}

// Guards against members that never learn of each other.
TEST(SwimMember, GroupForms) {
  fake_network network(8, kSeed);
  network.Run(seconds(15));
  EXPECT_TRUE(network.IsAgreed());
  EXPECT_EQ(network.FalseDeaths(), 0);
}

// Guards against false deaths at the stated loss: an hour of rounds at 5% loss declares nobody
// dead.
TEST(SwimMember, NoFalseDeathInAnHourAtFivePercentLoss) {
  fake_network network(8, kSeed);
  network.SetFaults({.loss = 0.05, .duplication = 0.01});
  network.Run(minutes(60));
  EXPECT_EQ(network.FalseDeaths(), 0);
  EXPECT_GT(network.Total(&swim_counters::suspicions), 0U);
  Settle(network);
  EXPECT_TRUE(network.IsAgreed());
}

// Guards against a dead member that keeps its place, and against a restarted one that stays dead,
// also if its clock went back.
TEST(SwimMember, DeathIsDetectedAndRestartRejoins) {
  fake_network network(8, kSeed);
  network.SetFaults({.loss = 0.05});
  network.Run(seconds(15));
  network.Stop(3);
  network.Run(seconds(40));
  Settle(network);
  EXPECT_TRUE(network.IsAgreed());
  network.SetFaults({.loss = 0.05});
  network.Start(3, 900);
  network.Run(seconds(30));
  Settle(network);
  EXPECT_TRUE(network.IsAgreed());
  EXPECT_GT(network.Member(3).Incarnation(), 1000U);
}

// Guards against a version that goes back or does not arrive, whatever the network does.
RC_GTEST_PROP(SwimMember, VersionsOnlyMoveForward, ()) {
  const auto seed = *rc::gen::inRange<std::uint64_t>(1, 1U << 30);
  fake_network network(6, seed);
  network.SetFaults({.loss = *rc::gen::inRange(0, 40) / 100.0,
                     .duplication = *rc::gen::inRange(0, 30) / 100.0,
                     .min_delay = milliseconds(1),
                     .max_delay = milliseconds(*rc::gen::inRange(2, 3000))});
  network.Run(seconds(10));
  std::uint64_t version = 0;
  for (int step = 0; step < 8; ++step) {
    const auto index = *rc::gen::inRange<std::size_t>(0, 6);
    switch (*rc::gen::inRange(0, 5)) {
      case 0:
        network.SetPartition([index](std::size_t at) { return at <= index ? 0 : 1; });
        break;
      case 1:
        network.SetPartition(nullptr);
        break;
      case 2:
        network.SetFrozen(index, true);
        network.Run(seconds(4));
        network.SetFrozen(index, false);
        break;
      case 3:
        network.Start(index, 2000 + static_cast<std::uint64_t>(step));
        break;
      default:
        network.SetVersion(index, std::max(version, network.Member(index).DocumentVersion()) + 1);
        version = network.Member(index).DocumentVersion();
    }
    network.Run(seconds(2));
    RC_ASSERT(network.Reverts() == 0);
  }
  network.SetPartition(nullptr);
  network.SetFaults({});
  const std::uint64_t newest = network.HighestVersion();
  network.Run(seconds(60));
  RC_ASSERT(network.Reverts() == 0);
  RC_ASSERT(network.LowestVersion() >= newest);
  RC_ASSERT(network.LowestVersion() == network.HighestVersion());
  RC_ASSERT(network.IsAgreed());
}

// Guards against halves that stay apart after a partition, and against an older version winning.
TEST(SwimMember, PartitionMerges) {
  fake_network network(8, kSeed);
  network.Run(seconds(15));
  network.SetVersion(0, 1);
  network.Run(seconds(5));
  network.SetPartition([](std::size_t index) { return index < 4 ? 0 : 1; });
  network.SetVersion(0, 2);
  network.Run(minutes(3));
  EXPECT_EQ(network.Member(1).AliveCount(), 3U);
  EXPECT_EQ(network.Member(1).DocumentVersion(), 2U);
  EXPECT_EQ(network.Member(7).DocumentVersion(), 1U);
  network.SetPartition(nullptr);
  network.Run(minutes(1));
  EXPECT_TRUE(network.IsAgreed());
  EXPECT_EQ(network.LowestVersion(), 2U);
  EXPECT_EQ(network.Reverts(), 0);
}

// Guards against a paused process that, on waking up, declares the others dead because of acks and
// refutations that it has not read yet.
TEST(SwimMember, FrozenMemberAccusesNobodyAndReturns) {
  fake_network network(8, kSeed);
  network.SetFaults({.loss = 0.05});
  network.Run(seconds(15));
  for (int round = 0; round < 10; ++round) {
    network.SetFrozen(2, true);
    network.Run(seconds(25));
    network.SetFrozen(2, false);
    network.Run(seconds(30));
  }
  EXPECT_EQ(network.FalseDeaths(), 0);
  EXPECT_EQ(network.Member(2).Counters().deaths_declared, 0U);
  Settle(network);
  EXPECT_TRUE(network.IsAgreed());
}

// Guards against a suspicion that runs out while the process is paused, before it can read the
// refutation.
TEST(SwimMember, SuspicionDoesNotRunOutDuringFreeze) {
  fake_network network(8, kSeed);
  network.Run(seconds(15));
  network.SetPartition([](std::size_t index) { return index == 2 ? 0 : 1; });
  network.Run(seconds(4));
  ASSERT_GT(network.Member(2).Counters().suspicions, 0U);
  network.SetPartition(nullptr);
  network.SetFrozen(2, true);
  network.Run(seconds(60));
  network.SetFrozen(2, false);
  network.Run(seconds(60));
  EXPECT_EQ(network.Member(2).Counters().deaths_declared, 0U);
  EXPECT_TRUE(network.IsAgreed());
}

// Guards against a new version that waits for the next probe at high loss.
TEST(SwimMember, VersionSpreadsWithinTargetAtHighLoss) {
  fake_network network(8, kSeed);
  network.SetFaults({.loss = 0.3});
  network.Run(seconds(20));
  int late = 0;
  for (std::uint64_t version = 1; version <= 300; ++version) {
    network.SetVersion(version % 8, version);
    network.Run(seconds(3));
    late += network.LowestVersion() < version ? 1 : 0;
    network.Run(seconds(3));
  }
  EXPECT_LE(late, 3);
}

// Guards against a cost per member that grows with the number of members.
TEST(SwimMember, CostDoesNotGrowWithMembers) {
  for (const std::size_t count : {8U, 64U}) {
    fake_network network(count, kSeed);
    network.Run(seconds(60));
    ASSERT_TRUE(network.IsAgreed());
    const std::uint64_t datagrams = network.Total(&swim_counters::datagrams_sent);
    const std::uint64_t bytes = network.Total(&swim_counters::bytes_sent);
    network.Run(seconds(60));
    const double members = static_cast<double>(count) * 60;
    EXPECT_LE(
        static_cast<double>(network.Total(&swim_counters::datagrams_sent) - datagrams) / members,
        2.2);
    EXPECT_LE(static_cast<double>(network.Total(&swim_counters::bytes_sent) - bytes) / members,
              2600);
  }
}

// Guards against counts of an earlier datagram that arrives late and replaces newer ones.
TEST(SwimMember, LateStateIsDropped) {
  swim_options options;
  options.name = "a";
  options.gossip = fake_network::Address(0);
  options.key = "test";
  swim_member member(options, kSeed);
  const auto payloads_of = [&member](std::uint64_t sequence) {
    wire::probe_message message;
    message.kind = wire::probe_kind::kAck;
    message.sender.name = wire::member_name::From("b");
    message.sender.gossip = fake_network::Address(1);
    message.payload.sequence = sequence;
    swim_output output;
    member.Handle(time_point(), fake_network::Address(1), wire::Encode(message, "test"), output);
    return output.payloads.size();
  };
  EXPECT_EQ(payloads_of(2), 1U);
  EXPECT_EQ(payloads_of(1), 0U);
  EXPECT_EQ(payloads_of(3), 1U);
}

// Guards against a malformed datagram that stops a member or changes its list.
TEST(SwimMember, MalformedDatagramsAreCountedAndIgnored) {
  fake_network network(3, kSeed);
  network.Run(seconds(10));
  network.Inject(0, "");
  network.Inject(0, std::string(1200, 'x'));
  network.Inject(0, std::string(70000, '\0'));
  EXPECT_EQ(network.Member(0).Counters().datagrams_malformed, 3U);
  EXPECT_TRUE(network.IsAgreed());
}

}  // namespace
}  // namespace tarragon::membership
