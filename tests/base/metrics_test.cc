#include "tarragon/base/metrics.h"

#include <gtest/gtest.h>

#include <string>
#include <utility>

namespace tarragon {
namespace {

using std::chrono::milliseconds;

// Guards against output that a scraper rejects: a name needs a type line, buckets are cumulative.
TEST(Metrics, ExposesCountersAndHistograms) {
  metrics registry;
  registry.Counter("requests_total", "class=\"lookup\"").Add(3);
  registry.Latency("wait_seconds").Record(milliseconds(5));
  const std::string text = registry.Expose();
  EXPECT_NE(text.find("# TYPE requests_total counter\nrequests_total{class=\"lookup\"} 3\n"),
            std::string::npos);
  EXPECT_NE(text.find("wait_seconds_bucket{le=\"+Inf\"} 1\n"), std::string::npos);
  EXPECT_NE(text.find("wait_seconds_count 1\n"), std::string::npos);
}

// Guards against quantiles that are wrong by more than one bin (12%).
TEST(LatencyHistogram, QuantileIsWithinOneBin) {
  latency_histogram histogram;
  for (int i = 1; i <= 1000; ++i) {
    histogram.Record(milliseconds(i));
  }
  EXPECT_GE(histogram.Quantile(0.5), milliseconds(500));
  EXPECT_LE(histogram.Quantile(0.5), milliseconds(565));
  EXPECT_EQ(histogram.Count(), 1000U);
}

// Guards against a total count that omits samples outside the axis.
TEST(LatencyHistogram, CountsSamplesOutsideTheAxis) {
  latency_histogram histogram;
  histogram.Record(duration::zero());
  histogram.Record(std::chrono::hours(1));
  EXPECT_EQ(histogram.Cumulative().back().count, 2U);
}

// Guards against an objective whose threshold is not a bucket bound, and against a sample equal to
// a bound that is counted below the bound.
TEST(Metrics, BucketBoundsIncludeObjectiveThresholds) {
  for (const auto& [ms, le] : {std::pair(50, "0.05"), std::pair(53, "0.053"),
                               std::pair(250, "0.25"), std::pair(320, "0.32")}) {
    metrics registry;
    registry.Latency("w").Record(milliseconds(ms));
    registry.Latency("w").Record(milliseconds(ms) - std::chrono::nanoseconds(1));
    const std::string line = std::string("w_bucket{le=\"") + le + "\"} 1\n";
    EXPECT_NE(registry.Expose().find(line), std::string::npos) << line;
  }
}

}  // namespace
}  // namespace tarragon
