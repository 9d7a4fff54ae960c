#include "tarragon/policy/decaying_histogram.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <vector>

namespace tarragon::policy {
namespace {

constexpr decaying_histogram::options kOptions{};

// Guards against quantiles with an error of more than one bin.
TEST(DecayingHistogram, QuantileIsWithinABin) {
  decaying_histogram histogram(kOptions);
  for (int i = 1; i <= 1000; ++i) {
    histogram.Record(i);
  }
  EXPECT_NEAR(histogram.QuantileAbove(0, 0.5), 500, 500 * 0.2);
  EXPECT_NEAR(histogram.QuantileAbove(500, 0.5), 750, 750 * 0.2);
  EXPECT_NEAR(histogram.WeightAbove(500), 500, 500 * 0.2);
}

// Guards against old samples that permanently outweigh a lasting change.
TEST(DecayingHistogram, ForgetsOldSamples) {
  decaying_histogram histogram(kOptions);
  for (int i = 0; i < 5000; ++i) {
    histogram.Record(10);
  }
  for (int i = 0; i < 2000; ++i) {
    histogram.Record(1000);
  }
  EXPECT_GT(histogram.QuantileAbove(0, 0.3), 500);
  EXPECT_LE(histogram.Weight(), kOptions.halving_weight);
}

// Guards against losing samples outside the axis and against quantiles below the floor.
RC_GTEST_PROP(DecayingHistogram,
              QuantilesRiseAndStayAboveTheFloor,
              (const std::vector<std::uint32_t>& samples, std::uint16_t floor)) {
  decaying_histogram histogram(kOptions);
  for (const std::uint32_t sample : samples) {
    histogram.Record(sample);
  }
  RC_ASSERT(histogram.WeightAbove(0) <= histogram.Weight() + 1e-9);
  if (histogram.WeightAbove(floor) <= 0) {
    return;
  }
  double last = floor;
  for (const double q : {0.0, 0.25, 0.5, 0.9, 1.0}) {
    const double value = histogram.QuantileAbove(floor, q);
    RC_ASSERT(value >= last);
    last = value;
  }
}

}  // namespace
}  // namespace tarragon::policy
