#include "tarragon/policy/concurrency_limiter.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <tuple>
#include <vector>

namespace tarragon::policy {
namespace {

using namespace std::chrono_literals;

constexpr endpoint_index kEndpoint = 0;

// Guards against long requests that occupy all slots and block short requests.
TEST(ConcurrencyLimiter, ReservesAShareForShortRequests) {
  concurrency_limiter limiter;
  limiter.SetSlots(kEndpoint, 10);
  EXPECT_TRUE(limiter.CanAdmit(kEndpoint, {7, 7}, request_length::kLong));
  EXPECT_FALSE(limiter.CanAdmit(kEndpoint, {8, 8}, request_length::kLong));
  EXPECT_TRUE(limiter.CanAdmit(kEndpoint, {9, 8}, request_length::kShort));
  EXPECT_FALSE(limiter.CanAdmit(kEndpoint, {10, 8}, request_length::kShort));
}

// Guards against a single-slot endpoint that never receives long requests.
TEST(ConcurrencyLimiter, SingleSlotTakesLongRequests) {
  concurrency_limiter limiter;
  limiter.SetSlots(kEndpoint, 1);
  EXPECT_TRUE(limiter.CanAdmit(kEndpoint, {0, 0}, request_length::kLong));
}

// Guards against a limit that stays high while the endpoint's latency grows under load, and against
// a limit that does not recover afterwards.
TEST(ConcurrencyLimiter, FollowsLatencyDownAndUp) {
  concurrency_limiter limiter;
  limiter.SetSlots(kEndpoint, 64);
  for (int i = 0; i < 50; ++i) {
    limiter.RecordLatency(kEndpoint, 100ms, 64);
  }
  EXPECT_EQ(limiter.Limit(kEndpoint), 64U);
  for (int i = 0; i < 100; ++i) {
    limiter.RecordLatency(kEndpoint, 1s, 64);
  }
  EXPECT_LT(limiter.Limit(kEndpoint), 16U);
  for (int i = 0; i < 200; ++i) {
    limiter.RecordLatency(kEndpoint, 100ms, limiter.Limit(kEndpoint));
  }
  EXPECT_EQ(limiter.Limit(kEndpoint), 64U);
}

// Guards against raising the limit because of the low latency of an idle endpoint.
TEST(ConcurrencyLimiter, DoesNotRiseWhileUnused) {
  concurrency_limiter limiter({.initial_limit = 8});
  for (int i = 0; i < 100; ++i) {
    limiter.RecordLatency(kEndpoint, 100ms, 1);
  }
  EXPECT_EQ(limiter.Limit(kEndpoint), 8U);
}

// Guards against a limit outside its bounds or above the slots for any sequence of calls.
RC_GTEST_PROP(ConcurrencyLimiterProperty,
              StaysWithinBounds,
              (const std::vector<std::tuple<std::uint8_t, std::uint8_t, std::uint16_t>>& calls)) {
  concurrency_limiter limiter;
  for (const auto& [call, number, value] : calls) {
    const endpoint_index endpoint = number % 3U;
    switch (call % 4) {
      case 0:
        limiter.SetSlots(endpoint, value % 100);
        break;
      case 1:
        limiter.RecordLatency(endpoint, std::chrono::microseconds(value), value % 64);
        break;
      case 2:
        limiter.RecordDecline(endpoint);
        break;
      default:
        limiter.Reset(endpoint);
    }
    limiter.Validate();
    RC_ASSERT(limiter.Limit(endpoint) >= 1U);
    RC_ASSERT(limiter.LongLimit(endpoint) <= limiter.Limit(endpoint));
  }
}

}  // namespace
}  // namespace tarragon::policy
