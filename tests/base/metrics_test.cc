#include "tarragon/base/metrics.h"

#include <gtest/gtest.h>

#include <string>
#include <utility>

namespace tarragon {
namespace {

using std::chrono::milliseconds;

// Guards against output that a scraper rejects: a type line per name, cumulative buckets.
TEST(Metrics, ExposesCountersAndHistograms) {
  metrics all;
  all.Counter("requests_total", "class=\"lookup\"").Add(3);
  all.Latency("wait_seconds").Record(milliseconds(5));
  const std::string text = all.Expose();
  EXPECT_NE(text.find("# TYPE requests_total counter\nrequests_total{class=\"lookup\"} 3\n"),
            std::string::npos);
  EXPECT_NE(text.find("wait_seconds_bucket{le=\"+Inf\"} 1\n"), std::string::npos);
  EXPECT_NE(text.find("wait_seconds_count 1\n"), std::string::npos);
}

// Guards against quantiles that are off by more than one bin (12%).
TEST(LatencyHistogram, QuantileIsWithinOneBin) {
  latency_histogram histogram;
  for (int i = 1; i <= 1000; ++i) {
    histogram.Record(milliseconds(i));
  }
  EXPECT_GE(histogram.Quantile(0.5), milliseconds(500));
  EXPECT_LE(histogram.Quantile(0.5), milliseconds(565));
  EXPECT_EQ(histogram.Count(), 1000U);
}

// Guards against samples outside the axis being dropped from the total.
TEST(LatencyHistogram, CountsSamplesOutsideTheAxis) {
  latency_histogram histogram;
  histogram.Record(duration::zero());
  histogram.Record(std::chrono::hours(1));
  EXPECT_EQ(histogram.Cumulative().back().count, 2U);
}

// Guards against objectives whose bound is no bucket bound, and against a sample on a bound that
// counts as faster than it.
TEST(Metrics, BucketsFallOnTheBoundsOfObjectives) {
  for (const auto& [ms, le] : {std::pair(50, "0.05"), std::pair(53, "0.053"),
                               std::pair(250, "0.25"), std::pair(320, "0.32")}) {
    metrics all;
    all.Latency("w").Record(milliseconds(ms));
    all.Latency("w").Record(milliseconds(ms) - std::chrono::nanoseconds(1));
    const std::string line = std::string("w_bucket{le=\"") + le + "\"} 1\n";
    EXPECT_NE(all.Expose().find(line), std::string::npos) << line;
  }
}

}  // namespace
}  // namespace tarragon
