#include "tarragon/policy/memory_ledger.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <map>
#include <tuple>
#include <vector>

namespace tarragon::policy {
namespace {

constexpr endpoint_index kEndpoint = 0;

/** @return the peak, found by adding up the running streams at each step. */
std::uint64_t SimulatePeak(const std::vector<stream_memory>& streams) {
  std::uint32_t longest = 0;
  for (const stream_memory& stream : streams) {
    longest = std::max(longest, stream.remaining);
  }
  std::uint64_t peak = 0;
  for (std::uint32_t step = 0; step <= longest; ++step) {
    std::uint64_t used = 0;
    for (const stream_memory& stream : streams) {
      used += stream.remaining >= step ? stream.held + step : 0;
    }
    peak = std::max(peak, used);
  }
  return peak;
}

// Guards against a peak that is not the maximum over time: compares with a step-by-step simulation.
RC_GTEST_PROP(MemoryLedger,
              PeakMatchesSimulation,
              (const std::vector<std::pair<std::uint8_t, std::uint8_t>>& sizes)) {
  memory_ledger ledger;
  ledger.SetEndpointMemory(kEndpoint, 1000, 0, 0);
  std::vector<stream_memory> streams;
  for (const auto& [held, remaining] : sizes) {
    const stream_memory stream{held, remaining};
    std::vector<stream_memory> with_stream = streams;
    with_stream.push_back(stream);
    RC_ASSERT(ledger.Fits(kEndpoint, stream) == (SimulatePeak(with_stream) <= 1000));
    ledger.Reserve({streams.size() + 1}, kEndpoint, stream);
    streams = with_stream;
    RC_ASSERT(ledger.Peak(kEndpoint) == SimulatePeak(streams));
  }
  ledger.Validate();
}

// Guards against reservations that leak or are released twice, for any order of calls.
RC_GTEST_PROP(MemoryLedger,
              ReservationsMatchCachedSums,
              (const std::vector<std::tuple<std::uint8_t, std::uint8_t, std::uint8_t>>& calls)) {
  memory_ledger ledger;
  std::map<std::uint64_t, stream_memory> reserved;
  for (const auto& [call, value, size] : calls) {
    const attempt_id attempt{value % 16U};
    const stream_memory memory{size, static_cast<std::uint32_t>(size) * 3};
    switch (call % 3) {
      case 0:
        if (!reserved.contains(attempt.value)) {
          ledger.Reserve(attempt, value % 3U, memory);
          reserved[attempt.value] = memory;
        }
        break;
      case 1:
        ledger.Adjust(attempt, memory);
        break;
      default:
        ledger.Release(attempt);
        reserved.erase(attempt.value);
    }
    ledger.Validate();
  }
  for (std::uint64_t i = 0; i < 16; ++i) {
    ledger.Release({i});
  }
  ledger.Validate();
  for (endpoint_index endpoint = 0; endpoint < 3; ++endpoint) {
    RC_ASSERT(ledger.Peak(endpoint) == 0U);
    RC_ASSERT(ledger.OwnHeldMemory(endpoint) == 0U);
  }
}

// Guards against admitting streams into memory that streams of other entries already use.
TEST(MemoryLedger, CountsStreamsOfOtherEntries) {
  memory_ledger ledger;
  ledger.SetEndpointMemory(kEndpoint, 1000, 700, 0);
  EXPECT_TRUE(ledger.Fits(kEndpoint, {100, 200}));
  EXPECT_FALSE(ledger.Fits(kEndpoint, {100, 201}));
  // Nine streams that are not in a report yet count with the mean memory that own streams hold.
  ledger.Reserve({1}, kEndpoint + 1, {100, 50});
  ledger.SetEndpointMemory(kEndpoint, 1000, 0, 9);
  EXPECT_TRUE(ledger.Fits(kEndpoint, {100, 0}));
  EXPECT_FALSE(ledger.Fits(kEndpoint, {100, 1}));
}

// Guards against rejecting requests at plain services, which report no memory.
TEST(MemoryLedger, UnlimitedEndpointFitsEverything) {
  memory_ledger ledger;
  EXPECT_TRUE(ledger.Fits(kEndpoint, {1U << 30, 1U << 30}));
  ledger.SetEndpointMemory(kEndpoint, 0, 0, 0);
  EXPECT_TRUE(ledger.Fits(kEndpoint, {1U << 30, 1U << 30}));
}

}  // namespace
}  // namespace tarragon::policy
