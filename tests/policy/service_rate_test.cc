#include "tarragon/policy/service_rate.h"

#include <gtest/gtest.h>

namespace tarragon::policy {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Guards against an estimate of zero right after the start: a new entry rejected requests with a
// deadline of 600 s because no request had left the queue in its first 50 ms.
TEST(ServiceRate, ShortTimeWithoutDeparturesDoesNotMeanZeroRate) {
  service_rate rate;
  EXPECT_EQ(rate.Estimate(100), std::nullopt);
  rate.RecordBusyTime(milliseconds(100));
  ASSERT_TRUE(rate.Estimate(100).has_value());
  EXPECT_GE(*rate.Estimate(100), 999);
}

// Guards against filling the queue of a stalled fleet with requests that will expire in the queue.
TEST(ServiceRate, LongTimeWithoutDeparturesLowersTheRate) {
  service_rate rate;
  for (int i = 0; i < 300; ++i) {
    rate.RecordBusyTime(milliseconds(100));
  }
  EXPECT_NEAR(*rate.Estimate(100), 100.0 / 30, 0.01);
}

// Guards against an estimate that does not follow the rate of departures.
TEST(ServiceRate, FollowsDepartures) {
  service_rate rate;
  for (int i = 0; i < 100; ++i) {
    rate.RecordBusyTime(milliseconds(100));
    rate.RecordDeparture(20);
  }
  EXPECT_NEAR(*rate.Estimate(20), 200, 20);
  for (int i = 0; i < 100; ++i) {
    rate.RecordBusyTime(milliseconds(100));
    rate.RecordDeparture(5);
  }
  EXPECT_NEAR(*rate.Estimate(5), 50, 5);
}

}  // namespace
}  // namespace tarragon::policy
