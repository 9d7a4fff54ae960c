#include <gtest/gtest.h>

#include <algorithm>
#include <chrono>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "emulator/fleet_emulator.h"

namespace tarragon::emulator {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/** Window and factors of the platform's bound on requests to an endpoint with a limit. */
constexpr seconds kWindow{4};
constexpr seconds kContactTime{3};
constexpr double kTolerance = 1.5;
constexpr std::size_t kSlack = 5;

std::size_t MaxAllowed(double per_second) {
  return static_cast<std::size_t>(kTolerance * per_second * kWindow.count()) + kSlack;
}

/** A fleet of four gateways whose callers read all the time. */
class rate_limit_test : public testing::Test {
 protected:
  static constexpr milliseconds kReadInterval{20};

  rate_limit_test() : fleet(MakeOptions()) {}

  static fleet_options MakeOptions() {
    fleet_options options;
    options.gateways = 4;
    options.engines = 1;
    options.plain_endpoints = 3;
    return options;
  }

  void SetLimits(const std::vector<std::optional<double>>& limits) {
    for (std::size_t i = 0; i < limits.size(); ++i) {
      fleet.plain_endpoint(i).SetRateLimit(limits[i]);
    }
  }

  void ReadFor(duration time) {
    const time_point end = fleet.Now() + time;
    while (fleet.Now() < end) {
      reads.push_back(
          fleet.SendRequest(call_kind::kRead, 0, fleet.random()() % fleet.gateway_count()));
      fleet.RunFor(kReadInterval);
    }
  }

  std::size_t MaxArrivals(std::size_t endpoint, time_point start, duration window) {
    return fleet.record().MaxArrivals(fleet.plain_endpoint(endpoint).id(), start, window);
  }

  /** @return share of the reads from the given one on that were served. */
  double ServedShare(std::size_t first) const {
    const auto recent = std::span(reads).subspan(first);
    return static_cast<double>(std::ranges::count_if(recent, &caller::is_served)) /
           static_cast<double>(recent.size());
  }

  fleet_emulator fleet;
  std::vector<std::shared_ptr<caller>> reads;
};

// Guards against daemons that each keep to an endpoint's limit, or know nothing of it, and together
// send more.
TEST_F(rate_limit_test, EndpointsGetNoMoreThanTheyTakeFromAllGateways) {
  constexpr double kLimit = 3;
  ASSERT_TRUE(fleet.WaitUntilServing());
  ReadFor(seconds(1));
  SetLimits({kLimit, kLimit});
  ReadFor(kContactTime);
  const time_point start = fleet.Now();
  const std::size_t first = reads.size();
  ReadFor(seconds(6));
  fleet.RunFor(seconds(1));
  EXPECT_LE(MaxArrivals(0, start, kWindow), MaxAllowed(kLimit));
  EXPECT_LE(MaxArrivals(1, start, kWindow), MaxAllowed(kLimit));
  EXPECT_GE(ServedShare(first), 0.98);
  EXPECT_EQ(fleet.DescribeViolations(), "");
}

// Guards against a fleet that sends limited endpoints far less than they take, or lets callers wait
// for what cannot be served.
TEST_F(rate_limit_test, LimitedEndpointsServeWhatTheyTakeAndTheRestIsRefused) {
  constexpr double kLimit = 5;
  ASSERT_TRUE(fleet.WaitUntilServing());
  SetLimits({kLimit, kLimit, kLimit});
  ReadFor(kContactTime);
  const time_point start = fleet.Now();
  const std::size_t first = reads.size();
  constexpr seconds kTime{6};
  ReadFor(kTime);
  fleet.RunFor(seconds(1));
  const auto recent = std::span(reads).subspan(first);
  const auto served = std::ranges::count_if(recent, &caller::is_served);
  EXPECT_GE(static_cast<double>(served), 0.75 * 3 * kLimit * kTime.count());
  EXPECT_EQ(served + std::ranges::count_if(recent, &caller::is_refused), std::ssize(recent));
  for (std::size_t endpoint = 0; endpoint < 3; ++endpoint) {
    EXPECT_LE(MaxArrivals(endpoint, start, kWindow), MaxAllowed(kLimit));
  }
}

// Guards against a limit that stays in force after the endpoint has ceased to name it.
TEST_F(rate_limit_test, EndpointIsUsedAgainAfterItsLimitHasEnded) {
  ASSERT_TRUE(fleet.WaitUntilServing());
  SetLimits({1.0});
  ReadFor(kContactTime);
  ASSERT_LE(MaxArrivals(0, fleet.Now() - seconds(1), kWindow), MaxAllowed(1));
  SetLimits({std::nullopt});
  ReadFor(kContactTime);
  const time_point start = fleet.Now();
  ReadFor(seconds(2));
  constexpr std::size_t kReads = seconds(2) / kReadInterval;
  EXPECT_GE(MaxArrivals(0, start, kWindow), kReads / 6);
}

}  // namespace
}  // namespace tarragon::emulator
