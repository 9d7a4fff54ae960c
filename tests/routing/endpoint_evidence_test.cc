#include "tarragon/routing/endpoint_evidence.h"

#include <fmt/format.h>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <memory>
#include <random>
#include <ranges>
#include <string>
#include <tuple>
#include <vector>

#include "tarragon/base/hash.h"

namespace tarragon::routing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kEndpoints = 6;

/** A registry with `kEndpoints` endpoints of one service, and a daemon's evidence. */
struct evidence_world {
  explicit evidence_world(std::string_view name = "self") {
    evidence.SetWitness(name, 1);
    for (std::size_t i = 0; i < kEndpoints; ++i) {
      List(i, 1);
    }
  }

  void List(std::size_t index, std::uint64_t row_version, std::int64_t started = 7) {
    endpoint_entry entry;
    entry.id = fmt::format("e{}", index);
    entry.service = "engines";
    entry.address = fmt::format("10.0.0.{}:1", index);
    entry.started_unix_ms = started;
    registry.Put(now, row_version, entry);
  }

  endpoint& At(std::size_t index) const { return *registry.Find(fmt::format("e{}", index)); }

  endpoint_statement Told(std::size_t index,
                          std::string_view witness,
                          evidence_kind kind = evidence_kind::kRefused,
                          std::int64_t number = 1) const {
    return {.incarnation = {At(index).id_hash, 7},
            .row_version = 1,
            .witness = Hash64(witness),
            .number = number,
            .kind = kind};
  }

  void Hear(const std::vector<endpoint_statement>& statements) {
    evidence.Merge(now, statements);
    evidence.Apply(now, registry);
  }

  std::size_t CountInUse() const {
    return static_cast<std::size_t>(
        std::ranges::count_if(registry.all() | std::views::values,
                              [](const endpoint_ptr& known) { return known->accepts_work(); }));
  }

  time_point now{seconds(100)};
  endpoint_registry registry;
  endpoint_evidence evidence;
};

rc::Gen<endpoint_statement> ArbitraryStatement() {
  return rc::gen::apply(
      [](std::size_t index, std::uint64_t witness, std::int64_t number, bool refused,
         std::uint64_t row_version, int age) {
        return endpoint_statement{
            .incarnation = {Hash64(fmt::format("e{}", index)), 7},
            .row_version = row_version,
            .witness = witness,
            .number = number,
            .kind = refused ? evidence_kind::kRefused : evidence_kind::kAnswers,
            .age = milliseconds(age)};
      },
      rc::gen::inRange<std::size_t>(0, kEndpoints), rc::gen::inRange<std::uint64_t>(1, 5),
      rc::gen::inRange<std::int64_t>(0, 4), rc::gen::arbitrary<bool>(),
      rc::gen::inRange<std::uint64_t>(0, 3), rc::gen::inRange(-500, 12'000));
}

std::vector<endpoint_statement> StateOf(evidence_world& world) {
  std::vector<endpoint_statement> state = world.evidence.TakeChanges(world.now, 1000);
  std::ranges::sort(state, {}, [](const endpoint_statement& each) {
    return std::tuple(each.incarnation, each.witness);
  });
  return state;
}

// Guards against daemons that disagree for good because statements reached them in another order,
// in other portions or twice.
RC_GTEST_PROP(EndpointEvidenceTest, MergesInAnyOrder, ()) {
  const auto statements =
      *rc::gen::container<std::vector<endpoint_statement>>(ArbitraryStatement());
  evidence_world in_order;
  in_order.Hear(statements);
  evidence_world shuffled;
  auto others = statements;
  const auto repeated = *rc::gen::container<std::vector<std::size_t>>(
      rc::gen::inRange<std::size_t>(0, std::max<std::size_t>(statements.size(), 1)));
  for (const std::size_t index : repeated) {
    if (index < statements.size()) {
      others.push_back(statements[index]);
    }
  }
  std::ranges::shuffle(others, std::mt19937_64(*rc::gen::arbitrary<std::uint64_t>()));
  for (const endpoint_statement& each : others) {
    shuffled.Hear({each});
  }
  RC_ASSERT(StateOf(in_order) == StateOf(shuffled));
}

// Guards against a daemon that lies, is cut off or invents witnesses and so takes all endpoints of
// a service from another daemon.
RC_GTEST_PROP(EndpointEvidenceTest, HearsayLeavesHalfOfTheEndpoints, ()) {
  evidence_world world;
  const auto actions = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 3));
  for (const int action : actions) {
    if (action == 0) {
      world.registry.MarkLeaving(world.now, (*ArbitraryStatement()).incarnation.endpoint_hash, 9);
    } else if (action == 1) {
      world.Hear({*ArbitraryStatement()});
    } else {
      world.evidence.RecordRefused(world.now,
                                   world.At(*rc::gen::inRange<std::size_t>(0, kEndpoints)));
    }
    world.now += milliseconds(*rc::gen::inRange(0, 900));
    world.evidence.Apply(world.now, world.registry);
    RC_ASSERT(world.CountInUse() >= kEndpoints / 2);
  }
}

// Guards against engines that have ended and are tried by every daemon again each second.
TEST(EndpointEvidenceTest, TwoWitnessesKeepAnEndpointOutForSeconds) {
  evidence_world world;
  world.Hear({world.Told(0, "a"), world.Told(0, "b")});
  world.now += milliseconds(3900);
  world.evidence.Apply(world.now, world.registry);
  EXPECT_FALSE(world.At(0).accepts_work());
  world.now += milliseconds(4200);
  world.evidence.Apply(world.now, world.registry);
  EXPECT_TRUE(world.At(0).accepts_work());
}

// Guards against a single daemon's word that keeps an endpoint which restarts out of use.
TEST(EndpointEvidenceTest, OneWitnessIsBelievedForASecond) {
  evidence_world world;
  world.Hear({world.Told(0, "a")});
  EXPECT_FALSE(world.At(0).accepts_work());
  world.now += milliseconds(1001);
  world.evidence.Apply(world.now, world.registry);
  EXPECT_TRUE(world.At(0).accepts_work());
}

// Guards against hearsay that stops the use of an endpoint which responds to this daemon, and
// against daemons that do not hear that an endpoint is back.
TEST(EndpointEvidenceTest, AnswerUndoesRefusals) {
  evidence_world world;
  world.Hear({world.Told(0, "a"), world.Told(0, "b")});
  world.now += milliseconds(100);
  EXPECT_TRUE(world.evidence.RecordAnswer(world.now, world.At(0)));
  world.evidence.Apply(world.now, world.registry);
  EXPECT_TRUE(world.At(0).accepts_work());

  evidence_world other("other");
  other.Hear({other.Told(0, "a"), other.Told(0, "b")});
  other.now += milliseconds(100);
  other.Hear(world.evidence.TakeChanges(world.now, 100));
  EXPECT_TRUE(other.At(0).accepts_work());
}

// Guards against a statement that outlives the incarnation it concerns.
TEST(EndpointEvidenceTest, NewIncarnationAndNewerRowAreInUse) {
  evidence_world world;
  const std::vector<endpoint_statement> told = {world.Told(0, "a"), world.Told(0, "b"),
                                                world.Told(1, "a"), world.Told(1, "b")};
  world.Hear(told);
  EXPECT_EQ(world.CountInUse(), kEndpoints - 2);
  world.List(0, 2, /*started=*/8);
  world.List(1, 2);
  world.Hear(told);
  EXPECT_EQ(world.CountInUse(), kEndpoints);
}

// Guards against statements that live on because daemons keep telling each other.
TEST(EndpointEvidenceTest, CopiesDoNotRenewAStatement) {
  evidence_world one("one");
  evidence_world two("two");
  one.evidence.RecordRefused(one.now, one.At(0));
  for (int round = 0; round < 120; ++round) {
    two.Hear(one.evidence.TakeChanges(one.now, 100));
    one.Hear(two.evidence.TakeChanges(two.now, 100));
    one.now += milliseconds(100);
    two.now = one.now;
    one.evidence.Expire(one.now);
    two.evidence.Expire(two.now);
  }
  EXPECT_EQ(one.evidence.size() + two.evidence.size(), 0U);
}

// Guards against each daemon of a fleet finding out for itself that engines have ended while the
// store is away. Load: 70 daemons with 3 requests a second each, and two of six engines gone.
TEST(EndpointEvidenceTest, FleetConnectsToEndedEnginesOnlyAFewTimes) {
  constexpr std::size_t kDaemons = 70;
  constexpr std::size_t kFanOut = 8;
  constexpr int kRounds = 1000;
  std::mt19937_64 random(5);
  std::vector<std::unique_ptr<evidence_world>> fleet;
  for (std::size_t i = 0; i < kDaemons; ++i) {
    fleet.push_back(std::make_unique<evidence_world>(fmt::format("vm-{}", i)));
  }
  std::size_t refused = 0;
  for (int round = 0; round < kRounds; ++round) {
    for (const auto& daemon : fleet) {
      daemon->now += milliseconds(10);
      const auto changes = daemon->evidence.TakeChanges(daemon->now, 24);
      for (std::size_t i = 0; i < kFanOut && !changes.empty(); ++i) {
        fleet[random() % kDaemons]->Hear(changes);
      }
      daemon->evidence.Expire(daemon->now);
      daemon->evidence.Apply(daemon->now, daemon->registry);
      endpoint& target = daemon->At(random() % kEndpoints);
      const bool is_sent = random() % 33 == 0 && target.accepts_work();
      if (is_sent && target.entry.id < "e2") {
        ++refused;
        daemon->evidence.RecordRefused(daemon->now, target);
      }
    }
  }
  // 10 s, two engines: without statements there are 70 requests a second to each.
  EXPECT_LT(refused, 40U);
}

}  // namespace
}  // namespace tarragon::routing
