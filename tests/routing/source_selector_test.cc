#include "tarragon/routing/source_selector.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <chrono>
#include <random>
#include <ranges>
#include <string>
#include <vector>

#include "routing/fake_relay_fleet.h"

namespace tarragon::routing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using condition = fake_relay_fleet::condition;

constexpr std::size_t kDomains = 5;

/** The strictest time in which the users' relayed deployments want a change in force. */
constexpr milliseconds kChangeBound{3000};

/** The strictest time in which the users want a change in force at daemons that the store refuses.
 */
constexpr milliseconds kRefusedChangeBound{7000};

/** Time after the end of a disruption from which the users hold a daemon to the change bound. */
constexpr milliseconds kContactTime{4000};

class source_selector_sizes : public testing::TestWithParam<std::size_t> {};

// Guards against a cost of calls to the store that grows with the number of daemons.
TEST_P(source_selector_sizes, FewDaemonsReadTheStore) {
  fake_relay_fleet fleet(GetParam(), kDomains, 1);
  fleet.RunFor(seconds(5));
  EXPECT_EQ(fleet.CountBehind(1), 0U);
  const bool is_relayed = GetParam() > kMaxDirectReaders;
  EXPECT_EQ(fleet.CountReading(), is_relayed ? kDomains : GetParam());
  ++fleet.store_version;
  fleet.RunFor(kChangeBound);
  EXPECT_EQ(fleet.CountBehind(2), 0U);
}

// Guards against a reader that dies without notice, loses the store or its peers, and leaves its
// failure domain with old rows.
TEST_P(source_selector_sizes, ChangesArriveInTimeWhenAReaderFails) {
  for (int fault = 0; fault < 4; ++fault) {
    fake_relay_fleet fleet(GetParam(), kDomains, 1);
    fleet.RunFor(seconds(5));
    fake_relay_fleet::daemon& root = fleet.Root("domain-0");
    root.state = fault == 0   ? condition::kSilent
                 : fault == 1 ? condition::kKilled
                              : condition::kRunning;
    root.reaches_store = fault != 2;
    root.reaches_peers = fault != 3;
    ++fleet.store_version;
    fleet.RunFor(kChangeBound);
    const bool is_relayed = GetParam() > kMaxDirectReaders;
    // Where all daemons read the store, they find later that it refuses one of them.
    const std::size_t expected = fault == 2 && !is_relayed ? 1 : 0;
    EXPECT_LE(fleet.CountBehind(2), expected) << "fault " << fault;
    fleet.RunFor(seconds(10));
    EXPECT_LE(fleet.CountReading(), is_relayed ? kDomains + 3 : GetParam()) << "fault " << fault;
  }
}

// Guards against a daemon that goes on waiting with old rows after its path has come back.
TEST_P(source_selector_sizes, DaemonIsCurrentSoonAfterACutEnds) {
  for (std::uint64_t seed = 1; seed <= 40; ++seed) {
    fake_relay_fleet fleet(GetParam(), kDomains, seed);
    fleet.RunFor(seconds(5));
    std::vector<fake_relay_fleet::daemon*> cut;
    std::size_t position = 0;
    for (fake_relay_fleet::daemon& known : fleet.daemons | std::views::values) {
      if (position++ % 3 == 0) {
        known.reaches_store = known.reaches_peers = false;
        cut.push_back(&known);
      }
    }
    ++fleet.store_version;
    fleet.RunFor(seconds(5) + milliseconds(250) * seed);
    std::ranges::for_each(cut, [](fake_relay_fleet::daemon* known) {
      known->reaches_store = known->reaches_peers = true;
    });
    fleet.RunFor(kContactTime);
    EXPECT_EQ(fleet.CountBehind(2), 0U) << "seed " << seed;
  }
}

// Guards against a daemon that starts and serves with rows that its source has kept behind a cut.
TEST_P(source_selector_sizes, DaemonDoesNotStartWithOldRows) {
  constexpr seconds kStartTime{4};
  for (std::uint64_t seed = 1; seed <= 40; ++seed) {
    fake_relay_fleet fleet(GetParam(), kDomains, seed);
    fleet.RunFor(seconds(5));
    std::size_t position = 0;
    for (fake_relay_fleet::daemon& known : fleet.daemons | std::views::values) {
      known.reaches_store = known.reaches_peers = position++ % 3 != 0;
    }
    ++fleet.store_version;
    fleet.RunFor(seconds(5) + milliseconds(250) * seed);
    std::vector<fake_relay_fleet::daemon*> restarted;
    for (fake_relay_fleet::daemon& known : fleet.daemons | std::views::values) {
      if (known.reaches_peers) {
        fleet.StartDaemon(known);
        restarted.push_back(&known);
      }
      known.reaches_store = known.reaches_peers = true;
    }
    const time_point end = fleet.now + kStartTime;
    while (fleet.now < end) {
      fleet.RunFor(fake_relay_fleet::kStep);
      EXPECT_TRUE(std::ranges::none_of(
          restarted, [](const fake_relay_fleet::daemon* known) { return known->version == 1; }))
          << "seed " << seed;
    }
    EXPECT_EQ(fleet.CountBehind(2), 0U) << "seed " << seed;
  }
}

// Guards against a daemon that refuses all requests after its start because no rows are recent.
TEST_P(source_selector_sizes, DaemonStartsWithOldRowsIfTheStoreIsAway) {
  fake_relay_fleet fleet(GetParam(), kDomains, 1);
  fleet.RunFor(seconds(5));
  fleet.store_serves = false;
  fleet.RunFor(seconds(10));
  fake_relay_fleet::daemon& restarted = fleet.daemons.begin()->second;
  fleet.StartDaemon(restarted);
  fleet.RunFor(seconds(4));
  EXPECT_EQ(fleet.CountBehind(1), 0U);
}

// Guards against a fleet that reads the store for ever after an outage in which all daemons went
// to look at the store themselves.
TEST_P(source_selector_sizes, ReadersAreFewAgainAfterAnOutage) {
  fake_relay_fleet fleet(GetParam(), kDomains, 1);
  fleet.RunFor(seconds(5));
  fleet.store_serves = false;
  fleet.RunFor(seconds(8));
  fleet.store_serves = true;
  ++fleet.store_version;
  fleet.RunFor(seconds(2));
  EXPECT_EQ(fleet.CountBehind(2), 0U);
  fleet.RunFor(seconds(3));
  EXPECT_EQ(fleet.CountReading(), GetParam() > kMaxDirectReaders ? kDomains : GetParam());
}

// Guards against a whole fleet that restarts and pages through the store daemon by daemon.
TEST_P(source_selector_sizes, ARestartedFleetDoesNotReadTheStoreTwice) {
  fake_relay_fleet fleet(GetParam(), kDomains, 1);
  fleet.RunFor(seconds(5));
  fleet.store_calls = 0;
  std::ranges::for_each(fleet.daemons, [&](auto& entry) { fleet.StartDaemon(entry.second); });
  fleet.RunFor(milliseconds(1000));
  EXPECT_EQ(fleet.CountBehind(1), 0U);
  EXPECT_LE(fleet.store_calls, GetParam() > kMaxDirectReaders ? 4 * kDomains : 4 * GetParam());
}

// Guards against a daemon that stays with old rows because the store refuses it and its sources,
// although other daemons have newer ones.
TEST_P(source_selector_sizes, ChangesReachDaemonsThatTheStoreRefuses) {
  for (const double share : {0.35, 0.6, 0.9}) {
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
      fake_relay_fleet fleet(GetParam(), kDomains, seed);
      fleet.RunFor(seconds(5));
      std::mt19937_64 random(seed);
      for (fake_relay_fleet::daemon& known : fleet.daemons | std::views::values) {
        known.reaches_store = !std::bernoulli_distribution(share)(random);
      }
      fleet.Root("domain-0").reaches_store = false;
      fleet.daemons.rbegin()->second.reaches_store = true;
      fleet.RunFor(milliseconds(500) * seed);
      ++fleet.store_version;
      fleet.RunFor(kRefusedChangeBound);
      EXPECT_EQ(fleet.CountBehind(2), 0U) << "share " << share << ", seed " << seed;
      for (fake_relay_fleet::daemon& known : fleet.daemons | std::views::values) {
        known.reaches_store = true;
      }
      fleet.RunFor(seconds(5));
      EXPECT_EQ(fleet.CountReading(), GetParam() > kMaxDirectReaders ? kDomains : GetParam());
    }
  }
}

INSTANTIATE_TEST_SUITE_P(Fleets, source_selector_sizes, testing::Values(8, 64, 195, 390));

// Guards against a source that is given up while it sends a large row: the next one has to send all
// of it again.
TEST(SourceSelectorTest, SourceThatSendsIsNotGivenUp) {
  constexpr time_point kStart{seconds(100)};
  source_selector selector(kStart, 1);
  selector.SetPlan(
      kStart,
      {.is_relayed = true, .sources = {"a", "b"}, .alternates = {}, .peer_roots = {}, .depth = 1});
  source_view view{.loaded = true, .age = {}, .source_age = duration::zero()};
  selector.Update(kStart, view);
  ASSERT_EQ(selector.source(), "a");
  const auto update_at = [&](milliseconds at, bool sends) {
    view.age = at;
    view.source_age = at;
    view.source_sends = sends;
    selector.Update(kStart + at, view);
  };
  for (milliseconds at{100}; at < milliseconds(4500); at += milliseconds(100)) {
    update_at(at, true);
    EXPECT_EQ(selector.source(), "a") << at.count();
    EXPECT_FALSE(selector.reads_store()) << at.count();
  }
  // It may not send for ever.
  update_at(milliseconds(5000), true);
  EXPECT_EQ(selector.source(), "b");
}

// Guards against any combination of dead, cut off and restarted daemons after which a daemon that
// reaches the store keeps old rows.
RC_GTEST_PROP(SourceSelectorTest, EveryDaemonConverges, (std::uint64_t seed)) {
  fake_relay_fleet fleet(64, 3, seed);
  fleet.late_share = 0.2;
  fleet.RunFor(seconds(4));
  const int faults = *rc::gen::inRange(1, 12);
  for (int i = 0; i < faults; ++i) {
    auto chosen = fleet.daemons.begin();
    std::advance(chosen, *rc::gen::inRange<int>(0, 64));
    fake_relay_fleet::daemon& target =
        *rc::gen::arbitrary<bool>() ? fleet.Root("domain-0") : chosen->second;
    switch (*rc::gen::inRange(0, 6)) {
      case 0:
        target.state = condition::kSilent;
        break;
      case 1:
        target.state = condition::kKilled;
        break;
      case 2:
        target.reaches_store = false;
        break;
      case 3:
        target.reaches_peers = false;
        break;
      case 4:
        fleet.StartDaemon(target);
        break;
      default:
        target.reaches_store = target.reaches_peers = true;
    }
    fleet.store_version += 1;
    fleet.RunFor(milliseconds(*rc::gen::inRange(50, 2000)));
  }
  ++fleet.store_version;
  fleet.RunFor(seconds(6));
  for (const fake_relay_fleet::daemon& known : fleet.daemons | std::views::values) {
    if (known.state == condition::kRunning && known.reaches_store) {
      RC_ASSERT(known.version == fleet.store_version);
    }
  }
}

}  // namespace
}  // namespace tarragon::routing
