#include <fmt/format.h>
#include <gflags/gflags.h>

#include <chrono>
#include <csignal>
#include <cstdio>
#include <fstream>
#include <iostream>
#include <optional>
#include <sstream>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "scraper.h"
#include "tarragon/base/real_clock.h"
#include "tarragon/burn/burn_report.h"
#include "tarragon/burn/html_report.h"
#include "tarragon/burn/sample.h"
#include "tarragon/burn/text_report.h"
#include "tarragon/settings/objective_settings.h"

DEFINE_string(objectives,
              "examples/objectives.toml",
              "settings file with the objectives and alerts");
DEFINE_bool(check_settings, false, "check the settings file and exit: 0 if valid, 2 otherwise");
DEFINE_string(entries, "", "comma-separated ip:port of the entries to scrape");
DEFINE_int32(duration, 60, "seconds to scrape for; 0: scrape once, for use with --save");
DEFINE_int32(interval, 5, "seconds between two scrapes");
DEFINE_int32(timeout_ms, 2000, "timeout for connecting to and reading from an entry");
DEFINE_string(save, "", "file to append the scraped samples to");
DEFINE_string(samples, "", "file with saved samples to report on instead of scraping");
DEFINE_bool(json, false, "print JSON instead of a table");
DEFINE_string(html, "", "file to write an HTML report to");

namespace {

using std::chrono::seconds;
using tarragon::burn::burn_report;
using tarragon::burn::sample;
using tarragon::settings::objective_settings;

constexpr int kExitNoData = 1;
constexpr int kExitSettings = 2;

std::vector<std::string> SplitList(const std::string& list) {
  std::vector<std::string> items;
  std::istringstream stream(list);
  for (std::string item; std::getline(stream, item, ',');) {
    items.push_back(item);
  }
  return items;
}

std::optional<std::vector<sample>> ReadSamples(const std::string& file) {
  std::ifstream stream(file);
  if (!stream) {
    fmt::print(stderr, "{}:0: (file): expected a readable file\n", file);
    return std::nullopt;
  }
  std::vector<sample> samples;
  std::string line;
  for (int number = 1; std::getline(stream, line); ++number) {
    if (auto one = sample::Make(line)) {
      samples.push_back(*std::move(one));
    } else {
      // The last line is truncated if the machine stopped during the write.
      fmt::print(stderr, "{}:{}: skipped: expected a sample written by --save\n", file, number);
    }
  }
  return samples;
}

/** Appends the samples to the file of --save, if one is given. */
bool Save(const std::vector<sample>& samples) {
  if (FLAGS_save.empty()) {
    return true;
  }
  std::ofstream file(FLAGS_save, std::ios::app);
  for (const sample& one : samples) {
    file << one.ToLine() << '\n';
  }
  file.flush();
  if (!file) {
    fmt::print(stderr, "{}: expected a writable file\n", FLAGS_save);
  }
  return file.good();
}

std::optional<std::vector<sample>> Scrape(const objective_settings& settings) {
  const tarragon::real_clock time;
  const tarragon::burn::scraper scraper(SplitList(FLAGS_entries),
                                        tarragon::burn::RequiredMetricPrefixes(settings),
                                        std::chrono::milliseconds(FLAGS_timeout_ms), time);
  std::vector<sample> samples;
  const auto start = time.Now();
  const auto end = start + seconds(FLAGS_duration);
  for (auto next = start; next <= end; next += seconds(FLAGS_interval)) {
    std::this_thread::sleep_for(next - time.Now());
    const std::vector<sample> scraped = scraper.Scrape();
    if (!Save(scraped)) {
      return std::nullopt;
    }
    samples.insert(samples.end(), scraped.begin(), scraped.end());
  }
  return samples;
}

bool CheckFlags() {
  if (FLAGS_entries.empty() == FLAGS_samples.empty()) {
    fmt::print(stderr, "expected exactly one of --entries and --samples\n");
    return false;
  }
  if (FLAGS_interval < 1 || FLAGS_duration < 0 || FLAGS_timeout_ms < 1) {
    fmt::print(stderr, "expected --interval and --timeout_ms above 0, --duration of 0 or more\n");
    return false;
  }
  return true;
}

int Report(const objective_settings& settings, const std::vector<sample>& samples) {
  const auto report = burn_report::Make(settings, samples);
  if (!report) {
    fmt::print(stderr, "no samples to report on\n");
    return kExitNoData;
  }
  std::cout << (FLAGS_json ? RenderJson(*report) : RenderTable(*report)) << std::flush;
  if (!FLAGS_html.empty()) {
    std::ofstream file(FLAGS_html, std::ios::trunc);
    file << RenderHtml(*report) << std::flush;
    if (!file) {
      fmt::print(stderr, "{}: expected a writable file\n", FLAGS_html);
      return kExitNoData;
    }
  }
  return 0;
}

}  // namespace

int main(int argc, char** argv) {
  gflags::ParseCommandLineFlags(&argc, &argv, /*remove_flags=*/true);
  std::signal(SIGPIPE, SIG_IGN);
  std::vector<std::string> errors;
  auto settings = objective_settings::Load(FLAGS_objectives, &errors);
  for (const std::string& error : errors) {
    fmt::print(stderr, "{}\n", error);
  }
  if (!settings) {
    return kExitSettings;
  }
  if (FLAGS_check_settings) {
    return 0;
  }
  if (!CheckFlags()) {
    return kExitSettings;
  }
  if (FLAGS_entries.empty()) {
    const auto samples = ReadSamples(FLAGS_samples);
    return samples ? Report(*settings, *samples) : kExitNoData;
  }
  if (FLAGS_duration > 0) {
    settings = tarragon::burn::ScaleWindows(*std::move(settings), seconds(FLAGS_duration),
                                            seconds(FLAGS_interval));
    if (!settings) {
      fmt::print(stderr,
                 "expected a --duration with at least two scrapes in the shortest alert window\n");
      return kExitSettings;
    }
  }
  const auto samples = Scrape(*settings);
  if (!samples) {
    return kExitNoData;
  }
  return FLAGS_duration == 0 && !samples->empty() ? 0 : Report(*settings, *samples);
}
