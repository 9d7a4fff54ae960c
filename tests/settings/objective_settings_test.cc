#include "tarragon/settings/objective_settings.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

namespace tarragon::settings {
namespace {

using ::testing::ElementsAre;

constexpr std::string_view kValid = R"([[objective]]
name = "whole"
good = ["whole"]
counted = ["whole", "failed"]
target_percent = 99.9
[[alert]]
name = "fast"
short_window_s = 300
long_window_s = 3600
burn = 14.4
)";

std::vector<std::string> ErrorsOf(std::string_view old, std::string_view replacement) {
  std::string text(kValid);
  text.replace(text.find(old), old.size(), replacement);
  std::vector<std::string> errors;
  const auto settings = objective_settings::Make(text, "o.toml", &errors);
  EXPECT_EQ(settings.has_value(), errors.empty());
  return errors;
}

// Guards against values that are parsed but not stored.
TEST(ObjectiveSettings, ReadsEveryPart) {
  const auto settings = objective_settings::Make(kValid, "o.toml", nullptr);
  ASSERT_TRUE(settings);
  EXPECT_DOUBLE_EQ(settings->objectives.front().target, 0.999);
  EXPECT_EQ(settings->objectives.front().period, std::chrono::hours(30 * 24));
  EXPECT_EQ(settings->alerts.front().burn, 14.4);
  EXPECT_THAT(settings->windows, ElementsAre(std::chrono::minutes(5), std::chrono::hours(1)));
}

// Guards against accepting objectives that can never be computed, and against error messages
// without file, line, key or expected value.
TEST(ObjectiveSettings, RejectsInvalidValues) {
  EXPECT_THAT(ErrorsOf("99.9", "100"), ElementsAre("o.toml:5: objective[0].target_percent: "
                                                   "expected a number from 0.001 to 99.9999"));
  EXPECT_THAT(ErrorsOf("99.9", "nan"), ElementsAre("o.toml:5: objective[0].target_percent: "
                                                   "expected a number from 0.001 to 99.9999"));
  EXPECT_THAT(ErrorsOf("good = [\"whole\"]", "good = [\"late\"]"),
              ElementsAre("o.toml:3: objective[0].good: "
                          "expected outcomes that are listed in counted"));
  EXPECT_THAT(ErrorsOf("= 300", "= 7200"),
              ElementsAre("o.toml:8: alert[0].short_window_s: expected less than long_window_s"));
  EXPECT_THAT(
      ErrorsOf("burn = 14.4", ""),
      ElementsAre("o.toml:6: alert[0].burn: missing; expected a number from 0.001 to 1000000"));
  EXPECT_THAT(ErrorsOf("name = \"whole\"", "name = \"whole\"\ncolour = 1"),
              ElementsAre("o.toml:3: objective[0].colour: unknown key; expected one of classes, "
                          "counted, good, kind, name, period_days, target_percent"));
}

}  // namespace
}  // namespace tarragon::settings
