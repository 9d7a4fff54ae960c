#include <gtest/gtest.h>

#include <algorithm>
#include <chrono>
#include <set>
#include <string>

#include "emulator/fleet_emulator.h"

namespace tarragon::emulator {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/** The platform's bound on the time in which an evacuation takes effect. */
constexpr milliseconds kEvacuationTime{5000};
constexpr seconds kReturnTimeout{10};

/** A fleet whose endpoints are spread over three failure domains. */
class evacuation_test : public testing::Test {
 protected:
  static constexpr milliseconds kRequestInterval{20};
  static constexpr const char* kRow = "evacuate/domain-0";

  evacuation_test() : fleet(MakeOptions()) {
    for (std::size_t i = 0; i < fleet.engine_count(); ++i) {
      AddIfInDomain(fleet.engine(i));
    }
    for (std::size_t i = 0; i < fleet.plain_count(); ++i) {
      AddIfInDomain(fleet.plain_endpoint(i));
    }
  }

  static fleet_options MakeOptions() {
    fleet_options options;
    options.gateways = 3;
    options.engines = 6;
    options.plain_endpoints = 3;
    options.endpoint_domains = 3;
    return options;
  }

  void AddIfInDomain(const endpoint_emulator& endpoint) {
    if (endpoint.failure_domain() == "domain-0") {
      ids_in_domain.insert(endpoint.id());
    }
  }

  void SendRequests() {
    const std::size_t gateway = fleet.random()() % fleet.gateway_count();
    fleet.SendRequest(call_kind::kRead, 0, gateway);
    fleet.SendRequest(call_kind::kTag, 20, gateway);
  }

  void SendFor(duration time) {
    const time_point end = fleet.Now() + time;
    while (fleet.Now() < end) {
      SendRequests();
      fleet.RunFor(kRequestInterval);
    }
  }

  /** @return requests that have reached an endpoint of the domain since then. */
  std::ptrdiff_t ArrivalsInDomain(time_point since) const {
    return std::ranges::count_if(
        fleet.record().request_arrivals(), [&](const request_arrival& arrival) {
          return arrival.at >= since && ids_in_domain.contains(arrival.endpoint);
        });
  }

  fleet_emulator fleet;
  std::set<std::string> ids_in_domain;
};

// Guards against gateways that send to an evacuated domain, also after a restart or while the store
// is away, and against a domain that is not used again.
TEST_F(evacuation_test, DomainGetsNothingUntilItIsTakenBack) {
  ASSERT_TRUE(fleet.WaitUntilServing());
  const time_point start = fleet.Now();
  SendFor(seconds(1));
  ASSERT_GT(ArrivalsInDomain(start), 0);
  fleet.store().Put("op", kRow, "{}");
  const time_point acknowledged = fleet.Now();
  SendFor(seconds(1));
  fleet.gateway(0).Kill();
  fleet.gateway(0).Start();
  fleet.RunFor(acknowledged + kEvacuationTime - fleet.Now() <= seconds(0)
                   ? milliseconds(0)
                   : std::chrono::ceil<milliseconds>(acknowledged + kEvacuationTime - fleet.Now()));
  const time_point in_force = fleet.Now();
  ASSERT_TRUE(fleet.WaitUntilServing());
  SendFor(seconds(1));
  fleet.store().SetState(store_state::kResetting);
  SendFor(seconds(1));
  EXPECT_EQ(ArrivalsInDomain(in_force), 0);
  fleet.store().SetState(store_state::kServing);
  fleet.store().Remove("op", kRow);
  const time_point taken_back = fleet.Now();
  EXPECT_TRUE(fleet.RunUntil(
      [&] {
        SendRequests();
        return ArrivalsInDomain(taken_back) > 0;
      },
      kReturnTimeout));
  fleet.RunFor(seconds(1));
  EXPECT_EQ(fleet.DescribeViolations(), "");
}

}  // namespace
}  // namespace tarragon::emulator
