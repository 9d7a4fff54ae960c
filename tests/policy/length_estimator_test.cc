#include "tarragon/policy/length_estimator.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <random>
#include <vector>

namespace tarragon::policy {
namespace {

constexpr account_id kLanhai{1};
constexpr account_id kOther{2};

// Guards against predicting an account's long reports from other accounts' short lookups.
TEST(LengthEstimator, UsesTheAccountOnceItHasEnoughSamples) {
  length_estimator estimator;
  for (int i = 0; i < 200; ++i) {
    estimator.Record("report", kOther, 50);
  }
  EXPECT_LT(estimator.Predict("report", kLanhai, 0, 0.5), 100U);
  for (int i = 0; i < 30; ++i) {
    estimator.Record("report", kLanhai, 2000);
  }
  EXPECT_GT(estimator.Predict("report", kLanhai, 0, 0.5), 1500U);
  EXPECT_LT(estimator.Predict("report", kOther, 0, 0.5), 100U);
}

// Guards against the straggler fault: a stream past the median must be predicted from the longer
// generations only.
TEST(LengthEstimator, IsConditionalOnTokensSoFar) {
  length_estimator estimator;
  for (int i = 0; i < 95; ++i) {
    estimator.Record("report", kOther, 100);
  }
  for (int i = 0; i < 25; ++i) {
    estimator.Record("report", kOther, 5000);
  }
  EXPECT_LT(estimator.Predict("report", kOther, 0, 0.5), 130U);
  EXPECT_GT(estimator.Predict("report", kOther, 500, 0.5), 4000U);
}

// Guards against a prediction that the generation has already passed.
RC_GTEST_PROP(LengthEstimator,
              AlwaysPredictsMoreThanGenerated,
              (const std::vector<std::uint16_t>& lengths, std::uint16_t generated)) {
  length_estimator estimator;
  for (const std::uint16_t length : lengths) {
    estimator.Record("report", kOther, length);
  }
  std::uint32_t last = 0;
  for (const double q : {0.0, 0.5, 0.95, 1.0}) {
    const std::uint32_t predicted = estimator.Predict("report", kOther, generated, q);
    RC_ASSERT(predicted > generated);
    RC_ASSERT(predicted >= last);
    last = predicted;
  }
}

// Guards against a quantile that does not hold on a heavy-tailed distribution (calibration).
TEST(LengthEstimator, QuantileCoversItsShareOfALognormalTail) {
  std::mt19937_64 random(7);
  std::lognormal_distribution<double> length(5.0, 1.0);
  length_estimator estimator;
  for (int i = 0; i < 900; ++i) {
    estimator.Record("report", kOther, static_cast<std::uint32_t>(length(random)) + 1);
  }
  const std::uint32_t p90 = estimator.Predict("report", kOther, 0, 0.9);
  int covered = 0;
  constexpr int kTrials = 10000;
  for (int i = 0; i < kTrials; ++i) {
    covered += length(random) <= p90 ? 1 : 0;
  }
  EXPECT_NEAR(static_cast<double>(covered) / kTrials, 0.9, 0.03);
}

}  // namespace
}  // namespace tarragon::policy
