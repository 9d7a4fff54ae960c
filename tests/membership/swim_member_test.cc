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

/** Ends the faults and runs for long enough to refute the suspicions that lost datagrams caused. */
void EndFaultsAndSettle(fake_network& network) {
  network.SetFaults({});
  network.Run(seconds(10));
}

// Guards against members that do not discover each other through the seeds.
TEST(SwimMember, GroupForms) {
  fake_network network(8, kSeed);
  network.Run(seconds(15));
  EXPECT_TRUE(network.MembersAgree());
  EXPECT_EQ(network.FalseDeaths(), 0);
}

// Guards against running members that are declared dead because datagrams are lost: the failure
// detector must tolerate 5% loss for an hour.
TEST(SwimMember, NoFalseDeathInAnHourAtFivePercentLoss) {
  fake_network network(8, kSeed);
  network.SetFaults({.loss = 0.05, .duplication = 0.01});
  network.Run(minutes(60));
  EXPECT_EQ(network.FalseDeaths(), 0);
  EXPECT_GT(network.SumCounter(&swim_counters::suspicions), 0U);
  EndFaultsAndSettle(network);
  EXPECT_TRUE(network.MembersAgree());
}

// Guards against a dead member that stays listed as alive, and against a restarted member that
// stays dead because its clock went back and its incarnation is lower than before.
TEST(SwimMember, DeathIsDetectedAndRestartRejoins) {
  fake_network network(8, kSeed);
  network.SetFaults({.loss = 0.05});
  network.Run(seconds(15));
  network.Stop(3);
  network.Run(seconds(40));
  EndFaultsAndSettle(network);
  EXPECT_TRUE(network.MembersAgree());
  network.SetFaults({.loss = 0.05});
  network.Start(3, 900);
  network.Run(seconds(30));
  EndFaultsAndSettle(network);
  EXPECT_TRUE(network.MembersAgree());
  EXPECT_GT(network.Member(3).Incarnation(), 1000U);
}

// Guards against a document version that decreases or does not reach a member, under loss,
// duplication, delay, partitions, pauses and restarts.
RC_GTEST_PROP(SwimMember, DocumentVersionsDoNotDecrease, ()) {
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
        network.SetPaused(index, true);
        network.Run(seconds(4));
        network.SetPaused(index, false);
        break;
      case 3:
        network.Start(index, 2000 + static_cast<std::uint64_t>(step));
        break;
      default:
        network.SetVersion(index, std::max(version, network.Member(index).DocumentVersion()) + 1);
        version = network.Member(index).DocumentVersion();
    }
    network.Run(seconds(2));
    RC_ASSERT(network.VersionDecreases() == 0);
  }
  network.SetPartition(nullptr);
  network.SetFaults({});
  const std::uint64_t newest = network.HighestVersion();
  network.Run(seconds(60));
  RC_ASSERT(network.VersionDecreases() == 0);
  RC_ASSERT(network.LowestVersion() >= newest);
  RC_ASSERT(network.LowestVersion() == network.HighestVersion());
  RC_ASSERT(network.MembersAgree());
}

// Guards against halves of the group that do not merge after a partition, and against an older
// document version that replaces a newer one.
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
  EXPECT_TRUE(network.MembersAgree());
  EXPECT_EQ(network.LowestVersion(), 2U);
  EXPECT_EQ(network.VersionDecreases(), 0);
}

// Guards against a paused process that declares other members dead when it resumes, because it has
// not yet read their acks and refutations.
TEST(SwimMember, PausedMemberDeclaresNoDeathAndRejoins) {
  fake_network network(8, kSeed);
  network.SetFaults({.loss = 0.05});
  network.Run(seconds(15));
  for (int round = 0; round < 10; ++round) {
    network.SetPaused(2, true);
    network.Run(seconds(25));
    network.SetPaused(2, false);
    network.Run(seconds(30));
  }
  EXPECT_EQ(network.FalseDeaths(), 0);
  EXPECT_EQ(network.Member(2).Counters().deaths_declared, 0U);
  EndFaultsAndSettle(network);
  EXPECT_TRUE(network.MembersAgree());
}

// Guards against a suspicion that expires while the process is paused, before the process can read
// the refutation.
TEST(SwimMember, SuspicionDoesNotExpireDuringPause) {
  fake_network network(8, kSeed);
  network.Run(seconds(15));
  network.SetPartition([](std::size_t index) { return index == 2 ? 0 : 1; });
  network.Run(seconds(4));
  ASSERT_GT(network.Member(2).Counters().suspicions, 0U);
  network.SetPartition(nullptr);
  network.SetPaused(2, true);
  network.Run(seconds(60));
  network.SetPaused(2, false);
  network.Run(seconds(60));
  EXPECT_EQ(network.Member(2).Counters().deaths_declared, 0U);
  EXPECT_TRUE(network.MembersAgree());
}

// Guards against a new document version that waits for the next probe when many announcements are
// lost.
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

// Guards against network traffic per member that grows with the number of members.
TEST(SwimMember, TrafficPerMemberDoesNotGrowWithMembers) {
  for (const std::size_t count : {8U, 64U}) {
    fake_network network(count, kSeed);
    network.Run(seconds(60));
    ASSERT_TRUE(network.MembersAgree());
    const std::uint64_t datagrams = network.SumCounter(&swim_counters::datagrams_sent);
    const std::uint64_t bytes = network.SumCounter(&swim_counters::bytes_sent);
    network.Run(seconds(60));
    const double members = static_cast<double>(count) * 60;
    EXPECT_LE(static_cast<double>(network.SumCounter(&swim_counters::datagrams_sent) - datagrams) /
                  members,
              2.2);
    EXPECT_LE(static_cast<double>(network.SumCounter(&swim_counters::bytes_sent) - bytes) / members,
              2600);
  }
}

// Guards against a payload that arrives late and replaces a newer payload of the same member.
TEST(SwimMember, LatePayloadIsDropped) {
  swim_options options;
  options.name = "a";
  options.gossip = fake_network::Address(0);
  options.key = "test";
  swim_member member(options, kSeed);
  const auto deliver_payload = [&member](std::uint64_t sequence) {
    wire::probe_message message;
    message.kind = wire::probe_kind::kAck;
    message.sender.name = wire::member_name::From("b");
    message.sender.gossip = fake_network::Address(1);
    message.payload.sequence = sequence;
    swim_output output;
    member.HandleDatagram(time_point(), fake_network::Address(1), wire::Encode(message, "test"),
                          output);
    return output.peer_states.size();
  };
  EXPECT_EQ(deliver_payload(2), 1U);
  EXPECT_EQ(deliver_payload(1), 0U);
  EXPECT_EQ(deliver_payload(3), 1U);
}

// Guards against a malformed datagram that crashes a member or changes its member list.
TEST(SwimMember, MalformedDatagramsAreCountedAndIgnored) {
  fake_network network(3, kSeed);
  network.Run(seconds(10));
  network.Inject(0, "");
  network.Inject(0, std::string(1200, 'x'));
  network.Inject(0, std::string(70000, '\0'));
  EXPECT_EQ(network.Member(0).Counters().datagrams_malformed, 3U);
  EXPECT_TRUE(network.MembersAgree());
}

}  // namespace
}  // namespace tarragon::membership
