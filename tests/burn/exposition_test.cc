#include "tarragon/burn/exposition.h"

#include <fmt/format.h>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <string>

#include "tarragon/base/metrics.h"
#include "tarragon/burn/sample.h"
#include "tarragon/decision/request_outcome.h"

namespace tarragon::burn {
namespace {

// Guards against a parser that misreads the metrics of the entries, such as escaped labels.
TEST(Exposition, ParsesMetricsOfEntries) {
  metrics registry;
  registry.Counter("requests_total", R"(class="a\"\\b\n")").Add(3);
  registry.Latency("wait_seconds", R"(class="c")").Record(std::chrono::milliseconds(40));
  const exposition parsed = ParseExposition(registry.Expose());
  EXPECT_EQ(parsed.damaged_lines, 0U);
  ASSERT_FALSE(parsed.points.empty());
  EXPECT_EQ(parsed.points.front().Label("class"), "a\"\\b\n");
  EXPECT_EQ(parsed.points.front().value, 3);
  EXPECT_EQ(parsed.points.back().name, "wait_seconds_count");
}

// Guards against a damaged line that is parsed as a sample with another value.
TEST(Exposition, CountsDamagedLines) {
  for (const char* line :
       {"a", "a{", "a{b=\"c\"", "a{b=\"c} 1", "a{b=\"c\"d=\"e\"} 1", "a NaN", "a +Inf", "a -1",
        "a 1x", "a{b=\"c\",b=\"d\"} 1", "{} 1", "a{=\"\"} 1"}) {
    const exposition parsed = ParseExposition(fmt::format("ok 1\n{}\nok 2 1700000000\n", line));
    EXPECT_EQ(parsed.points.size(), 2U) << line;
    EXPECT_EQ(parsed.damaged_lines, 1U) << line;
  }
}

// Guards against crashes on arbitrary text, and against lines that are neither parsed nor counted.
RC_GTEST_PROP(Exposition, EveryLineIsCountedOnce, ()) {
  const auto piece = rc::gen::element<std::string>("a", "{", "}", "=", "\"", "\\", ",", " ", "1",
                                                   "\n", "e9", "-", "#", std::string(1, '\0'));
  std::string text;
  for (const std::string& one : *rc::gen::container<std::vector<std::string>>(piece)) {
    text += one;
  }
  const exposition parsed = ParseExposition(text);
  std::size_t lines = 0;
  for (std::size_t start = 0; start < text.size();) {
    const std::size_t end = std::min(text.find('\n', start), text.size());
    const std::size_t first = text.find_first_not_of(" \t", start);
    lines += first < end && text[first] != '#' ? 1 : 0;
    start = end + 1;
  }
  RC_ASSERT(parsed.points.size() + parsed.damaged_lines == lines);
}

// Guards against class names with characters that end the label early.
RC_GTEST_PROP(Exposition, ReadsAnyClassName, (const std::string& name)) {
  RC_PRE(!name.empty());
  const exposition parsed = ParseExposition("a{" + decision::ClassLabel(name) + "} 1\n");
  RC_ASSERT(parsed.points.size() == 1U);
  RC_ASSERT(parsed.points.front().Label("class") == name);
}

// Guards against crashes on a damaged file of saved samples, and against samples that change when
// they are saved and loaded.
RC_GTEST_PROP(Sample, LineRoundTrips, (const std::string& noise)) {
  const sample saved{wall_time_point(std::chrono::milliseconds(1700000000123)), "127.0.0.1:1",
                     "a{b=\"c\"} 1\n"};
  const std::string line = saved.ToLine();
  const auto read = sample::Make(line);
  RC_ASSERT(read.has_value());
  RC_ASSERT(read->at == saved.at && read->entry == saved.entry && read->text == saved.text);
  RC_ASSERT(!sample::Make(noise + "x"));
  RC_ASSERT(!sample::Make(line.substr(0, line.size() - 1)));
}

}  // namespace
}  // namespace tarragon::burn
