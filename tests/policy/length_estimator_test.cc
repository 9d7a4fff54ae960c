#include "tarragon/policy/length_estimator.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <random>
#include <vector>

namespace tarragon::policy {
namespace {

constexpr account_id kAccount{1};
constexpr account_id kOtherAccount{2};

// Guards against predicting the long outputs of an account from the short outputs of others.
TEST(LengthEstimator, UsesTheAccountDistributionAfterEnoughSamples) {
  length_estimator estimator;
  for (int i = 0; i < 200; ++i) {
    estimator.Record("report", kOtherAccount, 50);
  }
  EXPECT_LT(estimator.Predict("report", kAccount, 0, 0.5), 100U);
  for (int i = 0; i < 30; ++i) {
    estimator.Record("report", kAccount, 2000);
  }
  EXPECT_GT(estimator.Predict("report", kAccount, 0, 0.5), 1500U);
  EXPECT_LT(estimator.Predict("report", kOtherAccount, 0, 0.5), 100U);
}

// Guards against underestimating stragglers: the prediction for a stream past the median must use
// only longer generations.
TEST(LengthEstimator, IsConditionalOnGeneratedTokens) {
  length_estimator estimator;
  for (int i = 0; i < 95; ++i) {
    estimator.Record("report", kOtherAccount, 100);
  }
  for (int i = 0; i < 25; ++i) {
    estimator.Record("report", kOtherAccount, 5000);
  }
  EXPECT_LT(estimator.Predict("report", kOtherAccount, 0, 0.5), 130U);
  EXPECT_GT(estimator.Predict("report", kOtherAccount, 500, 0.5), 4000U);
}

// Guards against predicting no more tokens than the generation has already produced.
RC_GTEST_PROP(LengthEstimator,
              AlwaysPredictsMoreThanGenerated,
              (const std::vector<std::uint16_t>& lengths, std::uint16_t generated)) {
  length_estimator estimator;
  for (const std::uint16_t length : lengths) {
    estimator.Record("report", kOtherAccount, length);
  }
  std::uint32_t previous = 0;
  for (const double quantile : {0.0, 0.5, 0.95, 1.0}) {
    const std::uint32_t predicted = estimator.Predict("report", kOtherAccount, generated, quantile);
    RC_ASSERT(predicted > generated);
    RC_ASSERT(predicted >= previous);
    previous = predicted;
  }
}

// Guards against quantiles that are not calibrated for a heavy-tailed distribution.
TEST(LengthEstimator, QuantileIsCalibratedOnALognormalTail) {
  std::mt19937_64 random(7);
  std::lognormal_distribution<double> length(5.0, 1.0);
  length_estimator estimator;
  for (int i = 0; i < 900; ++i) {
    estimator.Record("report", kOtherAccount, static_cast<std::uint32_t>(length(random)) + 1);
  }
  const std::uint32_t p90 = estimator.Predict("report", kOtherAccount, 0, 0.9);
  int covered = 0;
  constexpr int kTrials = 10000;
  for (int i = 0; i < kTrials; ++i) {
    covered += length(random) <= p90 ? 1 : 0;
  }
  EXPECT_NEAR(static_cast<double>(covered) / kTrials, 0.9, 0.03);
}

}  // namespace
}  // namespace tarragon::policy
