#include "tarragon/gateway/table_watcher.h"

#include <fmt/format.h>
#include <gtest/gtest.h>

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <chrono>
#include <stdexcept>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "gateway/scripted_channel.h"
#include "table_platform.h"

namespace tarragon::gateway {
namespace {

class recording_listener final : public table_listener {
 public:
  void OnTable(const std::vector<table_row>& rows, const table_position& position) override {
    events.push_back(fmt::format("table {} rows at {}", rows.size(), position.version));
  }
  void OnChanges(const std::vector<table_row>& rows, const table_position& position) override {
    events.push_back(fmt::format("{} changes at {}", rows.size(), position.version));
  }
  void OnStoreLost(std::string_view) override { events.emplace_back("lost"); }
  void OnStoreRegained(const store_outage& ended) override {
    events.emplace_back("regained");
    outage = ended;
  }

  std::vector<std::string> events;
  store_outage outage;
};

std::string Row(std::string_view key, int version) {
  return fmt::format(R"({{"table":"t","part":"","key":"{}","value":"","ver":{}}})", key, version);
}

store_call_result Page(std::string_view rows, int version, bool more = false) {
  return store_response{
      200, fmt::format(R"({{"rows":[{}],"more-pages":{},"ver":{}}})", rows, more, version)};
}

class table_watcher_test : public testing::Test {
 protected:
  void Run(std::uint64_t known_version = 0) {
    watch_options options;
    options.initial_backoff = options.max_backoff = std::chrono::milliseconds(1);
    options.stale_read_delay = std::chrono::milliseconds(1);
    table_watcher watcher(loop, adapter, channel, "t", listener, options, 1);
    watcher.Start(known_version);
    loop.run();
  }

  asio::io_context loop;
  platform::table_platform adapter;
  scripted_channel channel{loop};
  recording_listener listener;
};

// Guards against missing a change to a row of the first page that is made before the last page is
// read, and against reading the last row of a page twice.
TEST_F(table_watcher_test, ReadsPagesAndWatchesFromTheFirstVersion) {
  channel.results = {Page(Row("a", 3), 7, true), Page(Row("b", 4), 9), Page(Row("c", 10), 10)};
  Run();
  EXPECT_EQ(listener.events, (std::vector<std::string>{"table 2 rows at 7", "1 changes at 10"}));
  EXPECT_NE(channel.targets.at(1).find("from=a%00"), std::string::npos);
  EXPECT_NE(channel.targets.at(2).find("after=7"), std::string::npos);
  EXPECT_NE(channel.targets.at(3).find("after=10"), std::string::npos);
}

// Guards against applying an older configuration from a stale read after history was dropped.
TEST_F(table_watcher_test, RepeatsAStaleRead) {
  channel.results = {Page("", 20), store_response{410, ""}, Page(Row("a", 3), 15),
                     Page(Row("a", 21), 21)};
  Run();
  EXPECT_EQ(listener.events,
            (std::vector<std::string>{"table 0 rows at 20", "table 1 rows at 21"}));
}

store_call_result PageOfEra(std::uint64_t era, std::string_view rows, int version) {
  store_call_result page = Page(rows, version);
  page.value().era = era;
  return page;
}

// Guards against rows that are never seen because a store that has returned from a copy has given
// out their versions before, so that the feed does not show them.
TEST_F(table_watcher_test, ReadsTheTableAgainInANewEra) {
  channel.results = {PageOfEra(1, Row("a", 20), 20), PageOfEra(2, Row("b", 25), 25),
                     PageOfEra(2, Row("a", 9), 25)};
  Run();
  EXPECT_EQ(listener.events,
            (std::vector<std::string>{"table 1 rows at 1/20", "table 1 rows at 2/25"}));
  EXPECT_NE(channel.targets.at(2).find("rows-get"), std::string::npos);
}

// Guards against a daemon that waits until the versions of a new era pass the last one it knew.
TEST_F(table_watcher_test, ALowerVersionOfANewEraIsNotStale) {
  store_call_result gone = store_response{410, "", 2};
  channel.results = {PageOfEra(1, Row("a", 20), 20), gone, PageOfEra(2, Row("a", 9), 12)};
  Run();
  EXPECT_EQ(listener.events,
            (std::vector<std::string>{"table 1 rows at 1/20", "table 1 rows at 2/12"}));
}

// Guards against a table put together from pages of two eras.
TEST_F(table_watcher_test, PagesOfTwoErasAreReadAgain) {
  store_call_result first = Page(Row("a", 3), 20, true);
  first.value().era = 1;
  channel.results = {first, PageOfEra(2, Row("b", 4), 9), PageOfEra(2, Row("c", 4), 9)};
  Run();
  EXPECT_EQ(listener.events, (std::vector<std::string>{"table 1 rows at 2/9"}));
}

// Guards against an outage that is not reported or after which the watch does not resume.
TEST_F(table_watcher_test, ResumesAfterAnOutage) {
  channel.results = {Page("", 5), store::store_error::kUnknownOutcome, store_response{503, ""},
                     store_response{429, ""}, Page(Row("a", 6), 6)};
  Run();
  EXPECT_EQ(listener.events,
            (std::vector<std::string>{"table 0 rows at 5", "lost", "regained", "1 changes at 6"}));
  // The first call after a failure does not wait at the store.
  EXPECT_NE(channel.targets.at(4).find("wait-ms=0"), std::string::npos);
}

// Guards against taking a response with status 200 but an invalid body for an empty table, which
// would remove all endpoints.
TEST_F(table_watcher_test, UnreadableResponseCountsAsFailure) {
  channel.results = {store_response{200, "{"}, store_response{200, "[]"}, Page("", 1)};
  Run();
  EXPECT_EQ(listener.events, (std::vector<std::string>{"lost", "regained", "table 0 rows at 1"}));
}

// Guards against a daemon that reads the whole table again, or misses changes, when it takes over
// the reading from another daemon that told it the table.
TEST_F(table_watcher_test, ResumesFromAKnownVersion) {
  channel.results = {Page(Row("a", 31), 31)};
  Run(30);
  EXPECT_EQ(listener.events, (std::vector<std::string>{"1 changes at 31"}));
  EXPECT_NE(channel.targets.at(0).find("after=30"), std::string::npos);
  // A change that was made before must not wait for the store's next one.
  EXPECT_NE(channel.targets.at(0).find("wait-ms=0"), std::string::npos);
}

// Guards against a wait after a failed call that outlasts the outage, although another table has
// shown that the store serves again.
TEST_F(table_watcher_test, RetryNowEndsTheWaitAfterAFailedCall) {
  channel.results = {Page("", 5), store_response{503, ""}, Page(Row("a", 6), 6)};
  watch_options options;
  options.initial_backoff = options.max_backoff = std::chrono::hours(1);
  table_watcher watcher(loop, adapter, channel, "t", listener, options, 1);
  watcher.RetryNow();
  EXPECT_TRUE(channel.targets.empty());
  watcher.Start();
  loop.run_for(std::chrono::milliseconds(20));
  ASSERT_EQ(listener.events.back(), "lost");
  watcher.RetryNow();
  watcher.RetryNow();
  loop.run_for(std::chrono::milliseconds(20));
  EXPECT_EQ(listener.events.back(), "1 changes at 6");
  EXPECT_EQ(channel.targets.size(), 4U);
}

// Guards against a call that is made while an abandoned one is pending, and against an abandoned
// call whose result is applied.
TEST_F(table_watcher_test, StopAbandonsThePendingCall) {
  channel.results = {Page(Row("a", 3), 7)};
  table_watcher watcher(loop, adapter, channel, "t", listener, {}, 1);
  watcher.Start();
  watcher.Stop();
  loop.run();
  EXPECT_EQ(channel.cancellations, 1);
  EXPECT_TRUE(listener.events.empty());
  watcher.Start(9);
  EXPECT_NE(channel.targets.at(1).find("after=9"), std::string::npos);
}

// Guards against a second call beside a pending one, which ends the process: after a pause of the
// process, a wait may have ended before the watcher was stopped and started again.
TEST_F(table_watcher_test, WaitThatEndedBeforeARestartMakesNoCall) {
  channel.results = {store::store_error::kUnavailable};
  watch_options options;
  options.initial_backoff = options.max_backoff = std::chrono::milliseconds(20);
  table_watcher watcher(loop, adapter, channel, "t", listener, options, 1);
  watcher.Start(0);
  loop.poll();
  asio::steady_timer earlier(loop, std::chrono::milliseconds(1));
  earlier.async_wait([&](const asio::error_code&) {
    watcher.Stop();
    watcher.Start(0);
  });
  std::this_thread::sleep_for(std::chrono::milliseconds(40));
  loop.restart();
  loop.run();
  EXPECT_EQ(channel.targets.size(), 2U);
}

/** Throws at its first changes. */
class throwing_listener final : public table_listener {
 public:
  void OnTable(const std::vector<table_row>&, const table_position&) override { ++tables; }
  void OnChanges(const std::vector<table_row>&, const table_position&) override {
    throw std::runtime_error("unexpected");
  }
  void OnStoreLost(std::string_view) override {}
  void OnStoreRegained(const store_outage&) override {}

  int tables = 0;
};

// Guards against a feed that ends for good because of an exception while a change is applied.
TEST_F(table_watcher_test, ExceptionOfTheListenerDoesNotEndTheWatch) {
  channel.results = {Page("", 5), Page(Row("a", 6), 6), Page(Row("a", 6), 6)};
  throwing_listener throwing;
  watch_options options;
  options.initial_backoff = options.max_backoff = std::chrono::milliseconds(1);
  table_watcher watcher(loop, adapter, channel, "t", throwing, options, 1);
  watcher.Start(0);
  EXPECT_NO_THROW(loop.run());
  EXPECT_EQ(throwing.tables, 2);
  EXPECT_EQ(channel.targets.size(), 4U);
}

// Guards against a daemon that finds the store late after a cut, because it waits after a call that
// has timed out as long again.
TEST_F(table_watcher_test, TimeoutsCountAsPartOfTheBackoff) {
  constexpr std::chrono::milliseconds kTimeout{60};
  channel.response_delay = kTimeout;
  channel.results = {Page("", 1), store::store_error::kUnknownOutcome,
                     store::store_error::kUnknownOutcome, Page("", 2)};
  watch_options options;
  options.wait = std::chrono::milliseconds(0);
  options.response_timeout = options.initial_backoff = options.max_backoff = kTimeout;
  table_watcher watcher(loop, adapter, channel, "t", listener, options, 1);
  watcher.Start();
  loop.run();
  ASSERT_EQ(listener.events.back(), "0 changes at 2");
  EXPECT_EQ(listener.outage.failed_calls, 2U);
  EXPECT_EQ(listener.outage.last_wait, std::chrono::milliseconds(0));
  // The last call that failed may have been sent just before the store was within reach again.
  ASSERT_TRUE(listener.outage.max_time_back.has_value());
  EXPECT_GE(*listener.outage.max_time_back, 2 * kTimeout - std::chrono::milliseconds(5));
  EXPECT_LE(*listener.outage.max_time_back, 4 * kTimeout);
}

// Guards against taking a store that refuses calls at once for one that was back long before.
TEST_F(table_watcher_test, ARefusalShowsThatTheStoreIsNotBack) {
  channel.results = {Page("", 1), store::store_error::kUnavailable, Page("", 2)};
  watch_options options;
  options.initial_backoff = options.max_backoff = std::chrono::milliseconds(1);
  table_watcher watcher(loop, adapter, channel, "t", listener, options, 1);
  watcher.Start();
  loop.run();
  ASSERT_TRUE(listener.outage.max_time_back.has_value());
  EXPECT_LT(*listener.outage.max_time_back, routing::kStoreResponseTimeout);
}

}  // namespace
}  // namespace tarragon::gateway
