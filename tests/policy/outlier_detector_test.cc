#include "tarragon/policy/outlier_detector.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <set>
#include <tuple>
#include <vector>

namespace tarragon::policy {
namespace {

using namespace std::chrono_literals;

constexpr time_point kStart{1h};
constexpr endpoint_index kEndpoints = 12;

class outlier_detector_test : public testing::Test {
 protected:
  outlier_detector_test() {
    for (endpoint_index i = 0; i < kEndpoints; ++i) {
      detector_.Add(i);
    }
  }

  /** Records tokens of every endpoint; those in `slow_endpoints_` have five times the latency. */
  void RunFor(duration time) {
    for (const time_point end = now_ + time; now_ < end; now_ += 50ms) {
      for (endpoint_index i = 0; i < kEndpoints; ++i) {
        if (detector_.Health(i) == endpoint_health::kEjected) {
          continue;
        }
        if (detector_.Health(i) == endpoint_health::kHalfOpen && detector_.CanSend(i)) {
          detector_.BeginProbe(now_, i);
        }
        detector_.RecordLatency(now_, i, latency_kind::kBetweenTokens,
                                slow_endpoints_.contains(i) ? 250ms : 50ms);
        detector_.RecordSuccess(now_, i);
      }
      detector_.Update(now_);
      detector_.Validate();
    }
  }

  outlier_detector detector_;
  std::set<endpoint_index> slow_endpoints_;
  time_point now_ = kStart;
};

// Guards against sending to slow endpoints until their delayed reports show the slowdown.
TEST_F(outlier_detector_test, EjectsSlowEndpointsByMeasuredLatency) {
  RunFor(2s);
  EXPECT_EQ(detector_.EjectedCount(), 0U);
  slow_endpoints_ = {3, 7};
  RunFor(2s);
  EXPECT_EQ(detector_.Health(3), endpoint_health::kEjected);
  EXPECT_EQ(detector_.Health(7), endpoint_health::kEjected);
  EXPECT_EQ(detector_.EjectedCount(), 2U);
}

// Guards against never using an endpoint again after it has recovered.
TEST_F(outlier_detector_test, ProbesReinstateARecoveredEndpoint) {
  RunFor(2s);
  slow_endpoints_ = {3};
  RunFor(10s);
  EXPECT_NE(detector_.Health(3), endpoint_health::kHealthy);
  slow_endpoints_ = {};
  RunFor(35s);
  EXPECT_EQ(detector_.Health(3), endpoint_health::kHealthy);
}

// Guards against ejecting most endpoints of a service when many of them are slow.
TEST_F(outlier_detector_test, EjectsAtMostThirtyPercent) {
  RunFor(2s);
  slow_endpoints_ = {0, 1, 2, 3, 4};
  RunFor(5s);
  EXPECT_EQ(detector_.EjectedCount(), 3U);
  EXPECT_EQ(detector_.MaxEjected(), 3U);
  for (const endpoint_index i : slow_endpoints_) {
    EXPECT_TRUE(detector_.Health(i) != endpoint_health::kHealthy || detector_.LatencyFactor(i) > 3);
  }
}

// Guards against sending requests to an endpoint that refuses connections.
TEST_F(outlier_detector_test, EjectsAfterConsecutiveFailures) {
  detector_.RecordFailure(now_, 5);
  detector_.RecordFailure(now_, 5);
  detector_.RecordSuccess(now_, 5);
  detector_.RecordFailure(now_, 5);
  detector_.RecordFailure(now_, 5);
  EXPECT_EQ(detector_.Health(5), endpoint_health::kHealthy);
  detector_.RecordFailure(now_, 5);
  EXPECT_EQ(detector_.Health(5), endpoint_health::kEjected);
  EXPECT_FALSE(detector_.CanSend(5));
}

// Guards against a burst of requests to a half-open endpoint.
TEST_F(outlier_detector_test, HalfOpenTakesOneProbeAtATime) {
  for (int i = 0; i < 3; ++i) {
    detector_.RecordFailure(now_, 5);
  }
  now_ += 3s;
  detector_.Update(now_);
  ASSERT_EQ(detector_.Health(5), endpoint_health::kHalfOpen);
  EXPECT_TRUE(detector_.CanSend(5));
  detector_.BeginProbe(now_, 5);
  EXPECT_FALSE(detector_.CanSend(5));
  detector_.RecordFailure(now_, 5);
  EXPECT_EQ(detector_.Health(5), endpoint_health::kEjected);
}

// Guards against an endpoint that stays half-open because the outcome of its probe never arrives.
TEST_F(outlier_detector_test, ProbeWithoutOutcomeFails) {
  for (int i = 0; i < 3; ++i) {
    detector_.RecordFailure(now_, 5);
  }
  now_ += 3s;
  detector_.Update(now_);
  detector_.BeginProbe(now_, 5);
  now_ += 6s;
  detector_.Update(now_);
  EXPECT_EQ(detector_.Health(5), endpoint_health::kEjected);
}

// Guards against ejecting more than 30%, and against wrong counts, for any order of calls.
RC_GTEST_PROP(OutlierDetectorProperty,
              EjectedCountStaysWithinLimit,
              (const std::vector<std::tuple<std::uint8_t, std::uint8_t, std::uint16_t>>& calls)) {
  outlier_detector detector;
  time_point now = kStart;
  for (endpoint_index i = 0; i < 10; ++i) {
    detector.Add(i);
  }
  for (const auto& [call, endpoint_number, value] : calls) {
    const endpoint_index endpoint = endpoint_number % 10U;
    now += std::chrono::milliseconds(value % 1000);
    switch (call % 8) {
      case 0:
        detector.Add(endpoint);
        break;
      case 1:
        detector.Remove(endpoint);
        break;
      case 2:
      case 3:
        detector.RecordFailure(now, endpoint);
        break;
      case 4:
        detector.RecordSuccess(now, endpoint);
        break;
      case 5:
        if (detector.CanSend(endpoint)) {
          detector.BeginProbe(now, endpoint);
        }
        break;
      default:
        for (int i = 0; i < 10; ++i) {
          detector.RecordLatency(now, endpoint, latency_kind::kService,
                                 std::chrono::milliseconds(value % 300));
        }
        detector.Update(now);
    }
    detector.Validate();
    RC_ASSERT(10 * detector.EjectedCount() <= 30U);
  }
}

}  // namespace
}  // namespace tarragon::policy
