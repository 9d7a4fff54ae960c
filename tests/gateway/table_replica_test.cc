#include "tarragon/gateway/table_replica.h"

#include <fmt/format.h>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

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

  std::map<std::string, std::uint64_t> contents;
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

table_row Row(std::string key, std::uint64_t version, bool deleted = false) {
  return {std::move(key), "", version, deleted};
}

// Guards against a daemon that goes back to older rows because a source was behind.
TEST(TableReplicaTest, NeverGoesBack) {
  replica_under_test daemon;
  daemon.replica.OnTable({Row("a", 5)}, {10, milliseconds(100)});
  EXPECT_TRUE(daemon.replica.Apply({0, {8, milliseconds(90)}, {Row("a", 3), Row("b", 4)}}));
  EXPECT_TRUE(daemon.replica.Apply({7, {9, milliseconds(95)}, {Row("b", 9)}}));
  EXPECT_EQ(daemon.consumer.contents, (std::map<std::string, std::uint64_t>{{"a", 5}}));
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
  EXPECT_EQ(follower.consumer.contents, (std::map<std::string, std::uint64_t>{{"b", 2}}));
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

// Guards against any order of changes, reads of the table and dropped tombstones after which a
// follower differs from the store.
RC_GTEST_PROP(TableReplicaTest, FollowersEqualTheStore, ()) {
  std::map<std::string, std::uint64_t> store;
  std::uint64_t version = 1;
  replica_under_test source;
  replica_under_test follower;
  source.replica.OnTable({}, {version, milliseconds(1)});
  const int steps = *rc::gen::inRange(1, 60);
  for (int step = 0; step < steps; ++step) {
    const std::string key = fmt::format("k{}", *rc::gen::inRange(0, 6));
    const bool remove = *rc::gen::arbitrary<bool>();
    ++version;
    if (remove) {
      store.erase(key);
    } else {
      store[key] = version;
    }
    if (*rc::gen::inRange(0, 4) == 0) {
      std::vector<table_row> rows;
      rows.reserve(store.size());
      for (const auto& [name, row_version] : store) {
        rows.push_back(Row(name, row_version));
      }
      source.replica.OnTable(rows, {version, milliseconds(version)});
    } else {
      source.replica.OnChanges({Row(key, version, remove)}, {version, milliseconds(version)});
    }
    if (*rc::gen::arbitrary<bool>()) {
      const std::uint64_t known =
          follower.replica.is_loaded() ? follower.replica.position().version : 0;
      RC_ASSERT(follower.replica.Apply(source.replica.ChangesSince(known)));
      RC_ASSERT(follower.consumer.contents == store);
    }
    source.replica.Validate();
    follower.replica.Validate();
  }
  RC_ASSERT(source.consumer.contents == store);
}

}  // namespace
}  // namespace tarragon::gateway
