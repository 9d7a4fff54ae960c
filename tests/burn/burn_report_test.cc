#include "tarragon/burn/burn_report.h"

#include <fmt/format.h>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <cmath>
#include <string>
#include <vector>

#include "tarragon/base/metrics.h"
#include "tarragon/burn/html_report.h"
#include "tarragon/burn/text_report.h"

namespace tarragon::burn {
namespace {

using std::chrono::seconds;

constexpr std::string_view kSettings = R"([[objective]]
name = "whole <answers>"
good = ["whole"]
counted = ["whole", "failed"]
target_percent = 99
period_days = 1
[[objective]]
name = "fast"
kind = "latency"
metric = "wait_seconds"
threshold_ms = 60
target_percent = 90
[[alert]]
name = "burns"
short_window_s = 10
long_window_s = 100
burn = 10
)";

settings::objective_settings Settings() {
  return *settings::objective_settings::Make(kSettings, "o.toml", nullptr);
}

wall_time_point At(std::int64_t second) {
  return wall_time_point(seconds(1'700'000'000 + second));
}

/** Entry whose counters the test sets. */
struct fake_entry {
  std::string name;
  std::int64_t started = 0;
  int whole = 0;
  int failed = 0;
  bool exposes_start_time = true;

  sample Scrape(std::int64_t second) const {
    std::string text = fmt::format(
        "tarragon_class_requests_total{{class=\"c\",outcome=\"whole\"}} {}\n"
        "tarragon_class_requests_total{{class=\"c\",outcome=\"failed\"}} {}\n",
        whole, failed);
    if (exposes_start_time) {
      text += fmt::format("tarragon_process_start_milliseconds {}\n",
                          At(started).time_since_epoch().count());
    }
    return {At(second), name, text};
  }
};

const burn_row& Row(const burn_report& report) {
  return report.rows.front();
}

// Guards against a remaining budget other than zero after a period with a burn rate of 1.
RC_GTEST_PROP(BurnReport, BurnOfOneUsesUpTheBudget, ()) {
  std::vector<sample> samples;
  fake_entry entry{.name = "e"};
  for (std::int64_t at = 0; at <= 86400; at += *rc::gen::inRange(600, 7200)) {
    samples.push_back(entry.Scrape(at));
    const int step = *rc::gen::inRange(1, 50);
    entry.whole += 99 * step;
    entry.failed += step;
  }
  samples.push_back(entry.Scrape(86400));
  const auto report = burn_report::Make(Settings(), samples);
  RC_ASSERT(report.has_value());
  RC_ASSERT(std::abs(*Row(*report).period_burn.burn - 1) < 1e-9);
  RC_ASSERT(std::abs(*Row(*report).budget_left) < 1e-9);
}

// Guards against events that are lost, counted twice or negative when entries restart, when scrapes
// are missing or damaged, when samples are duplicated or out of order, or with several entries.
RC_GTEST_PROP(BurnReport, CountsEachScrapedEventOnce, (bool exposes_start_time)) {
  std::vector<sample> samples;
  double whole = 0;
  double failed = 0;
  for (const char* name : {"a", "b"}) {
    fake_entry entry{.name = name, .exposes_start_time = exposes_start_time};
    samples.push_back(entry.Scrape(1));
    for (std::int64_t at = 2; at < 90; at += *rc::gen::inRange(1, 9)) {
      if (*rc::gen::inRange(0, 5) == 0) {
        // Without a start time, a restart is detected only if a counter decreases.
        entry = {.name = name, .started = at - 1, .exposes_start_time = exposes_start_time};
        if (exposes_start_time) {
          // The counter may exceed its value before the restart, so that no counter decreases.
          entry.whole = *rc::gen::inRange(0, 200);
          whole += entry.whole;
        }
        samples.push_back(entry.Scrape(at));
        continue;
      }
      const int new_whole = *rc::gen::inRange(0, 20);
      const int new_failed = *rc::gen::inRange(0, 20);
      entry.whole += new_whole;
      entry.failed += new_failed;
      whole += new_whole;
      failed += new_failed;
      samples.push_back(entry.Scrape(at));
      if (*rc::gen::inRange(0, 4) == 0) {
        samples.push_back({At(at), "c", *rc::gen::element<std::string>("", "a{", "\n")});
      }
    }
  }
  const std::vector<sample> duplicates = samples;
  samples.insert(samples.end(), duplicates.rbegin(), duplicates.rend());
  const auto report = burn_report::Make(Settings(), samples);
  RC_ASSERT(report.has_value());
  const event_counts& counted = Row(*report).period_burn.events;
  RC_ASSERT(std::abs(counted.good - whole) < 1e-6);
  RC_ASSERT(std::abs(counted.Bad() - failed) < 1e-6);
  RC_ASSERT(Row(*report).windows.front().events.good >= 0);
}

// Guards against missing scrapes that change the total number of events, and against counts of
// adjacent windows that do not add up.
RC_GTEST_PROP(EventHistory, WindowsAddUp, ()) {
  event_history full;
  event_history sparse;
  event_counts sum;
  wall_time_point end = At(0);
  bool restarted = false;
  for (int i = 0; i < 20; ++i) {
    const auto reset_time =
        i > 0 && *rc::gen::inRange(0, 6) == 0 ? std::optional(end) : std::nullopt;
    if (reset_time) {
      sum = {};
      restarted = true;
    }
    const double good = *rc::gen::inRange(0, 100);
    sum += {good, good + *rc::gen::inRange(0, 100)};
    end += seconds(10);
    full.Add(end, sum, reset_time);
    if (i == 0 || i == 19 || reset_time || *rc::gen::inRange(0, 2) == 0) {
      sparse.Add(end, sum, reset_time);
    }
  }
  const auto cut = At(*rc::gen::inRange(0, 250));
  const event_counts all = full.Between(At(0), end);
  event_counts parts = full.Between(At(0), cut);
  parts += full.Between(cut, std::max(cut, end));
  RC_ASSERT(std::abs(parts.total - all.total) < 1e-6);
  RC_ASSERT(std::abs(parts.good - all.good) < 1e-6);
  // Only the events after the last scrape before a restart are lost.
  const double scraped = sparse.Between(At(0), end).total;
  RC_ASSERT(scraped <= all.total + 1e-6);
  RC_ASSERT(restarted || std::abs(scraped - all.total) < 1e-6);
  const event_counts early = sparse.Between(At(0), cut);
  RC_ASSERT(early.good >= 0 && early.total >= early.good - 1e-9);
}

// Guards against treating a scrape with missing series as a restart, which counts events twice.
TEST(BurnReport, OmitsDamagedScrapes) {
  fake_entry entry{.name = "a", .whole = 50};
  std::vector<sample> samples = {entry.Scrape(0)};
  samples.push_back({At(5), "a", "tarragon_process_start_milliseconds 1700000000000\n"});
  entry.whole = 60;
  samples.push_back(entry.Scrape(10));
  const auto report = burn_report::Make(Settings(), samples);
  EXPECT_EQ(report->damaged_scrapes, 1U);
  EXPECT_EQ(report->restarts, 0U);
  EXPECT_EQ(Row(*report).period_burn.events.total, 10);
}

// Guards against losing the events of an entry that starts after the first scrape of the others.
TEST(BurnReport, CountsANewEntryFromItsStart) {
  const fake_entry old_entry{.name = "a", .started = -100, .whole = 1000};
  const fake_entry new_entry{.name = "b", .started = 20, .failed = 7};
  const auto report = burn_report::Make(
      Settings(), {old_entry.Scrape(0), old_entry.Scrape(40), new_entry.Scrape(40)});
  EXPECT_EQ(Row(*report).period_burn.events.total, 7);
}

// Guards against an alert that fires on a short error peak or long after the errors have ended.
TEST(BurnReport, AlertNeedsBothWindows) {
  fake_entry entry{.name = "a"};
  const auto fires = [&](int early_failures, int late_failures) {
    entry = {.name = "a"};
    std::vector<sample> samples = {entry.Scrape(0)};
    entry.whole = 900;
    entry.failed = early_failures;
    samples.push_back(entry.Scrape(90));
    entry.whole += 100;
    entry.failed += late_failures;
    samples.push_back(entry.Scrape(100));
    return Row(*burn_report::Make(Settings(), samples)).IsFiring();
  };
  EXPECT_FALSE(fires(0, 50));
  EXPECT_FALSE(fires(400, 0));
  EXPECT_TRUE(fires(400, 50));
}

// Guards against counting slower events as good if the threshold lies between two bucket bounds.
TEST(BurnReport, RoundsThresholdDownToBucketBound) {
  metrics registry;
  std::vector<sample> samples;
  latency_histogram& wait = registry.Latency("wait_seconds", "class=\"c\"");
  samples.push_back({At(0), "a", registry.Expose()});
  // Only 52 ms counts as good: 53 ms equals the bucket bound, 56 ms lies between the bound and the
  // threshold of 60 ms, and 70 ms is above the threshold.
  for (const int ms : {52, 53, 56, 70}) {
    wait.Record(std::chrono::milliseconds(ms));
  }
  samples.push_back({At(9), "a", registry.Expose()});
  const auto report = burn_report::Make(Settings(), samples);
  const burn_row& row = report->rows.back();
  EXPECT_EQ(row.counted_seconds, 0.053);
  EXPECT_EQ(row.period_burn.events.total, 4);
  EXPECT_EQ(row.period_burn.events.good, 1);
}

// Guards against windows that are too short for the scrape interval.
TEST(BurnReport, ScalesWindowsToRun) {
  const auto scaled = ScaleWindows(Settings(), seconds(60), seconds(5));
  EXPECT_EQ(scaled->windows, (std::vector{seconds(30), seconds(60)}));
  EXPECT_EQ(scaled->alerts.front().short_window, seconds(30));
  EXPECT_FALSE(ScaleWindows(Settings(), seconds(10), seconds(5)));
}

// Guards against text from settings or entries that is interpreted as markup.
RC_GTEST_PROP(HtmlReport, EscapesText, (const std::string& text)) {
  const std::string escaped = EscapeHtml(text + "<\"'&>");
  RC_ASSERT(escaped.find_first_of("<>\"'") == std::string::npos);
  RC_ASSERT(escaped.ends_with("&lt;&quot;&#39;&amp;&gt;"));
}

// Guards against a page that needs another file, and against a report without samples.
TEST(HtmlReport, IsSelfContained) {
  fake_entry entry{.name = "a"};
  std::vector<sample> samples = {entry.Scrape(0)};
  entry.whole = 10;
  entry.failed = 10;
  samples.push_back(entry.Scrape(100));
  const auto report = burn_report::Make(Settings(), samples);
  const std::string page = RenderHtml(*report);
  EXPECT_NE(page.find("whole &lt;answers&gt;"), std::string::npos);
  EXPECT_NE(page.find("<svg"), std::string::npos);
  for (const char* outside : {"<script", "href=", "src=", "url(", "@import", "http:"}) {
    EXPECT_EQ(page.find(outside), std::string::npos) << outside;
  }
  EXPECT_NE(RenderTable(*report).find("burns"), std::string::npos);
  EXPECT_NE(RenderJson(*report).find("\"firing\": true"), std::string::npos);
  EXPECT_FALSE(burn_report::Make(Settings(), {}));
}

}  // namespace
}  // namespace tarragon::burn
