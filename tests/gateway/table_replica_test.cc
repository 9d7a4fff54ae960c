#include "tarragon/gateway/table_replica.h"

#include <fmt/format.h>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <cstdint>
#include <iterator>
#include <map>
#include <string>
#include <vector>

#include "tarragon/base/manual_clock.h"

namespace tarragon::gateway {
namespace {

using std::chrono::milliseconds;

class recording_consumer final : public table_listener {
 public:
  void OnTable(const std::vector<table_row>& rows, const table_position&) override {
    contents.clear();
    Apply(rows);
  }
  void OnChanges(const std::vector<table_row>& rows, const table_position&) override {
    Apply(rows);
  }
  void OnStoreLost(std::string_view) override { ++losses; }
  void OnStoreRegained(const store_outage&) override { ++returns; }

  std::map<std::string, routing::store_version> contents;
  int losses = 0;
  int returns = 0;

 private:
  void Apply(const std::vector<table_row>& rows) {
    for (const table_row& row : rows) {
      if (row.deleted) {
        contents.erase(row.key);
      } else {
        contents[row.key] = row.version;
      }
    }
  }
};

struct replica_under_test {
  manual_clock clock;
  routing::store_clock store_time;
  recording_consumer consumer;
  int changes = 0;
  table_replica replica{consumer, clock, store_time, [this] { ++changes; }};
};

table_row Row(std::string key, routing::store_version version, bool deleted = false) {
  return {std::move(key), "", version, deleted};
}

// Guards against a daemon that goes back to older rows because a source was behind.
TEST(TableReplicaTest, NeverGoesBack) {
  replica_under_test daemon;
  daemon.replica.OnTable({Row("a", 5)}, {10, milliseconds(100)});
  EXPECT_TRUE(daemon.replica.Apply({0, {8, milliseconds(90)}, {Row("a", 3), Row("b", 4)}}));
  EXPECT_TRUE(daemon.replica.Apply({7, {9, milliseconds(95)}, {Row("b", 9)}}));
  EXPECT_EQ(daemon.consumer.contents, (std::map<std::string, routing::store_version>{{"a", 5}}));
  EXPECT_EQ(daemon.replica.position().version, 10U);
  EXPECT_EQ(daemon.replica.position().store_time, milliseconds(100));
}

// Guards against changes that are applied although earlier ones are missing.
TEST(TableReplicaTest, RejectsAnUpdateAfterAGap) {
  replica_under_test daemon;
  EXPECT_FALSE(daemon.replica.Apply({3, {4, milliseconds(1)}, {Row("a", 4)}}));
  daemon.replica.OnTable({}, {3, milliseconds(1)});
  EXPECT_FALSE(daemon.replica.Apply({4, {5, milliseconds(2)}, {Row("a", 5)}}));
  EXPECT_TRUE(daemon.replica.Apply({3, {5, milliseconds(2)}, {Row("a", 5)}}));
  EXPECT_EQ(daemon.consumer.contents.size(), 1U);
}

// Guards against an endpoint that stays in use at the followers because its row was deleted while
// the source read the whole table anew, so that no feed ever showed the deletion.
TEST(TableReplicaTest, RelaysDeletionsFoundByReadingTheTable) {
  replica_under_test source;
  source.replica.OnTable({Row("a", 1), Row("b", 2)}, {2, milliseconds(1)});
  replica_under_test follower;
  follower.replica.Apply(source.replica.ChangesSince(0));
  EXPECT_EQ(follower.consumer.contents.size(), 2U);
  source.replica.OnTable({Row("b", 2)}, {9, milliseconds(2)});
  EXPECT_TRUE(
      follower.replica.Apply(source.replica.ChangesSince(follower.replica.position().version)));
  EXPECT_EQ(follower.consumer.contents, (std::map<std::string, routing::store_version>{{"b", 2}}));
}

// Guards against a store outage that a follower never sees end.
TEST(TableReplicaTest, AFreshConfirmationEndsAnOutage) {
  replica_under_test daemon;
  daemon.replica.OnTable({}, {1, milliseconds(1000)});
  daemon.replica.OnStoreLost("test");
  daemon.replica.OnStoreLost("test");
  daemon.clock.Advance(std::chrono::seconds(5));
  // Repeats what was known before the outage.
  EXPECT_TRUE(daemon.replica.Apply({1, {1, milliseconds(1000)}, {}}));
  EXPECT_EQ(daemon.consumer.returns, 0);
  EXPECT_TRUE(daemon.replica.Apply({1, {1, milliseconds(6000)}, {}}));
  EXPECT_EQ(daemon.consumer.losses, 1);
  EXPECT_EQ(daemon.consumer.returns, 1);
}

/** A table of the store, which may return from a copy. */
struct fake_store_table {
  std::map<std::string, routing::store_version> rows;
  routing::store_version version{1, 1};

  void Change(const std::string& key, bool remove) {
    ++version.number;
    if (remove) {
      rows.erase(key);
    } else {
      rows[key] = version;
    }
  }

  /** Rows that the copy has kept are read with the new era. */
  void Restore(const fake_store_table& copy) {
    const std::uint64_t era = version.era + 1;
    rows = copy.rows;
    version = {era, copy.version.number};
    std::ranges::for_each(rows, [era](auto& row) { row.second.era = era; });
  }

  std::vector<table_row> Read() const {
    std::vector<table_row> read;
    std::ranges::transform(rows, std::back_inserter(read),
                           [](const auto& row) { return Row(row.first, row.second); });
    return read;
  }

  table_position Position() const { return {version, milliseconds(version.number)}; }
};

// Guards against any order of changes, reads of the table, dropped tombstones and returns of the
// store from a copy after which a follower differs from the store.
RC_GTEST_PROP(TableReplicaTest, FollowersEqualTheStore, ()) {
  fake_store_table store;
  fake_store_table copy;
  replica_under_test source;
  replica_under_test follower;
  source.replica.OnTable({}, store.Position());
  const int steps = *rc::gen::inRange(1, 60);
  for (int step = 0; step < steps; ++step) {
    const std::string key = fmt::format("k{}", *rc::gen::inRange(0, 6));
    const bool remove = *rc::gen::arbitrary<bool>();
    const int event = *rc::gen::inRange(0, 8);
    if (event == 0) {
      copy = store;
    }
    if (event == 1) {
      store.Restore(copy);
    }
    store.Change(key, remove);
    if (event <= 2) {
      source.replica.OnTable(store.Read(), store.Position());
    } else {
      source.replica.OnChanges({Row(key, store.version, remove)}, store.Position());
    }
    if (*rc::gen::arbitrary<bool>()) {
      const routing::store_version known = follower.replica.is_loaded()
                                               ? follower.replica.position().version
                                               : routing::store_version();
      RC_ASSERT(follower.replica.Apply(source.replica.ChangesSince(known)));
      RC_ASSERT(follower.consumer.contents == store.rows);
    }
    source.replica.Validate();
    follower.replica.Validate();
  }
  RC_ASSERT(source.consumer.contents == store.rows);
}

// Guards against a follower that keeps a row which was lost with an earlier era, and which its new
// source never had.
TEST(TableReplicaTest, RowsOfAnEarlierEraThatTheSourceNeverHadAreDropped) {
  replica_under_test source;
  source.replica.OnTable({Row("a", {2, 5})}, {{2, 6}, milliseconds(10)});
  replica_under_test follower;
  follower.replica.OnTable({Row("a", {1, 5}), Row("b", {1, 9})}, {{1, 9}, milliseconds(9)});
  EXPECT_TRUE(
      follower.replica.Apply(source.replica.ChangesSince(follower.replica.position().version)));
  EXPECT_EQ(follower.consumer.contents, source.consumer.contents);
  EXPECT_EQ(follower.consumer.losses, 1);
}

// Guards against a daemon that goes back to an earlier era because a source is still there.
TEST(TableReplicaTest, NeverGoesBackToAnEarlierEra) {
  replica_under_test daemon;
  daemon.replica.OnTable({Row("a", {2, 5})}, {{2, 6}, milliseconds(10)});
  EXPECT_TRUE(daemon.replica.Apply({{}, {{1, 90}, milliseconds(90)}, {Row("a", {1, 80})}}));
  EXPECT_EQ(daemon.consumer.contents.at("a"), routing::store_version(2, 5));
}

}  // namespace
}  // namespace tarragon::gateway
