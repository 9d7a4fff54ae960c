#include "fakes/fake_platform/table.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <map>

namespace tarragon::fakes {
namespace {

// Guards against a transaction that takes effect only in part.
TEST(Table, NothingIsWrittenIfOneConditionFails) {
  table rows;
  const std::uint64_t version = rows.Commit({{{"a", 0}}, {{"a", "1"}}}).versions.at(0);
  const commit_result result = rows.Commit({{{"a", version}, {"b", 7}}, {{"a", "2"}, {"c", "3"}}});
  EXPECT_TRUE(result.versions.empty());
  ASSERT_EQ(result.conflicts.size(), 1U);
  EXPECT_EQ(result.conflicts[0].key, "b");
  EXPECT_EQ(rows.Read("a")->value, "1");
  EXPECT_FALSE(rows.Read("c").has_value());
}

// Guards against a condition that holds again after its row was deleted and recreated.
TEST(Table, VersionIsNeverReused) {
  table rows;
  const std::uint64_t first = rows.Commit({{}, {{"a", "1"}}}).versions.at(0);
  EXPECT_EQ(rows.Commit({{}, {{"a", nullptr}}}).versions.at(0), 0U);
  EXPECT_FALSE(rows.Commit({{{"a", first}}, {}}).conflicts.empty());
  EXPECT_GT(rows.Commit({{{"a", 0}}, {{"a", "1"}}}).versions.at(0), first);
}

// Guards against scans that return rows outside the prefix.
TEST(Table, ScanReturnsThePrefixInOrder) {
  table rows;
  rows.Commit({{}, {{"a/2", "x"}, {"a/1", "y"}, {"a0", "z"}, {"a", "z"}}});
  const std::vector<table_row> found = rows.Scan("a/");
  ASSERT_EQ(found.size(), 2U);
  EXPECT_EQ(found[0].key, "a/1");
  EXPECT_EQ(found[1].key, "a/2");
}

// Guards against malformed bodies that are accepted as transactions without conditions.
TEST(Table, MalformedTransactionsAreRefused) {
  EXPECT_FALSE(ParseTransaction(nlohmann::json::parse(R"({"conditions":{}})")));
  EXPECT_FALSE(ParseTransaction(nlohmann::json::parse(R"({"conditions":[{"key":"a"}]})")));
  EXPECT_FALSE(ParseTransaction(nlohmann::json::parse(R"({"writes":[{"key":"a"}]})")));
  const auto parsed = ParseTransaction(nlohmann::json::parse(
      R"({"conditions":[{"key":"a","version":3}],"writes":[{"key":"a","value":null}]})"));
  ASSERT_TRUE(parsed.has_value());
  EXPECT_EQ(parsed->conditions.at(0).version, 3U);
  EXPECT_TRUE(parsed->writes.at(0).value.is_null());
}

// Guards against lost updates: an increment commits only if its row has not changed since the read.
RC_GTEST_PROP(Table, ConditionalIncrementsAreNeverLost, ()) {
  table rows;
  constexpr int kWriters = 3;
  struct observed_row {
    int value = 0;
    std::uint64_t version = 0;
  };
  std::map<int, observed_row> last_read;
  int committed = 0;
  for (const int step : *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 2 * kWriters))) {
    const int writer = step % kWriters;
    if (step < kWriters) {
      const auto row = rows.Read("n");
      last_read[writer] = row ? observed_row{row->value.get<int>(), row->version} : observed_row{};
      continue;
    }
    const observed_row last = last_read[writer];
    const commit_result result = rows.Commit({{{"n", last.version}}, {{"n", last.value + 1}}});
    committed += result.conflicts.empty() ? 1 : 0;
  }
  const auto row = rows.Read("n");
  RC_ASSERT((row ? row->value.get<int>() : 0) == committed);
}

}  // namespace
}  // namespace tarragon::fakes
