#include "tarragon/policy/endpoint_subset.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <cmath>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "policy/fleet_names.h"

namespace tarragon::policy {
namespace {

// Fleet size expected in two years.
constexpr std::size_t kEntries = 390;
constexpr std::size_t kEndpoints = 5200;
constexpr std::size_t kDomains = 5;
constexpr std::size_t kBound = 64;

// Guards against subsets of a fleet that is small enough for entries to use all endpoints.
TEST(EndpointSubset, SmallFleetIsUsedWhole) {
  const fleet_names fleet(8, 12, 3);
  for (const auto& subset : endpoint_subset::ComputeAll(fleet.vms(), fleet.endpoints())) {
    EXPECT_EQ(subset.size(), 12U);
  }
}

// Guards against entries that compute different assignments from differently ordered lists.
TEST(EndpointSubset, OrderOfTheListsDoesNotMatter) {
  const fleet_names fleet(20, 300, 3);
  std::vector<std::string_view> vms = fleet.vms();
  std::vector<subset_endpoint> endpoints = fleet.endpoints();
  const std::string_view own = vms[7];
  const auto names = [&] {
    std::set<std::string_view> result;
    for (const std::size_t i : endpoint_subset::Compute(own, vms, endpoints)) {
      result.insert(endpoints[i].name);
    }
    return result;
  };
  const auto before = names();
  std::ranges::reverse(vms);
  std::ranges::reverse(endpoints);
  EXPECT_EQ(names(), before);
}

// Guards against endpoints that few or no entries use. The most used endpoint may have at most 1.5
// times the mean number of entries; plain rendezvous hashing per entry exceeds this factor.
TEST(EndpointSubset, LoadStaysWithinTheStatedFactor) {
  constexpr double kStatedFactor = 1.5;
  const fleet_names fleet(kEntries, kEndpoints, kDomains);
  const auto subsets = endpoint_subset::ComputeAll(fleet.vms(), fleet.endpoints());
  const load_spread spread = MeasureSpread(subsets, kEndpoints);
  RecordProperty("max_to_mean", std::to_string(spread.max_to_mean));
  RecordProperty("min_to_mean", std::to_string(spread.min_to_mean));
  EXPECT_LE(spread.max_to_mean, kStatedFactor);
  EXPECT_GT(spread.min_to_mean, 0);
  EXPECT_GT(MeasureSpread(PlainRendezvous(fleet, kBound), kEndpoints).max_to_mean, kStatedFactor);
}

// Guards against a subset that loses most of its endpoints with one failure domain.
TEST(EndpointSubset, EachEntryIsSpreadOverFailureDomains) {
  const fleet_names fleet(kEntries, kEndpoints, kDomains);
  for (const auto& subset : endpoint_subset::ComputeAll(fleet.vms(), fleet.endpoints())) {
    ASSERT_LE(subset.size(), kBound);
    std::map<std::string_view, std::size_t> per_domain;
    for (const std::size_t i : subset) {
      per_domain[fleet.endpoints()[i].failure_domain] += 1;
    }
    ASSERT_EQ(per_domain.size(), kDomains);
    for (const auto& [domain, count] : per_domain) {
      EXPECT_LE(count, kBound / kDomains + 2);
    }
  }
}

// Guards against a small change of the fleet that moves many (entry, endpoint) pairs.
TEST(EndpointSubset, ChangesMoveFewPairs) {
  const fleet_names fleet(kEntries, kEndpoints, kDomains);
  const std::size_t pairs = CountPairs(fleet.Assign());
  for (const auto& [name, moved] :
       {std::pair("vm_gone", CountMovedPairs(fleet, fleet.WithoutVm(17))),
        std::pair("endpoint_gone", CountMovedPairs(fleet, fleet.WithoutEndpoint(1234)))}) {
    RecordProperty(name, std::to_string(moved));
    // 2% of all pairs; a single entry has 0.25% of them.
    EXPECT_LE(moved, pairs / 50) << name;
  }
}

// Guards against endpoints that no entry uses, and subsets above the bound, for any fleet size.
RC_GTEST_PROP(EndpointSubset, EveryEndpointIsUsedAndBoundsHold, ()) {
  const auto entries = *rc::gen::inRange<std::size_t>(1, 40);
  const auto endpoints = *rc::gen::inRange<std::size_t>(1, 400);
  const auto domains = *rc::gen::inRange<std::size_t>(1, 6);
  const fleet_names fleet(entries, endpoints, domains);
  const subset_options options{.size_bound = 16};
  const auto subsets = endpoint_subset::ComputeAll(fleet.vms(), fleet.endpoints(), options);
  std::vector<bool> used(endpoints, false);
  const std::size_t needed = static_cast<std::size_t>(
      std::ceil(static_cast<double>(endpoints) / static_cast<double>(entries) / options.fill));
  for (const auto& subset : subsets) {
    RC_ASSERT(subset.size() <= std::max(options.size_bound, needed));
    RC_ASSERT(std::ranges::is_sorted(subset));
    for (const std::size_t i : subset) {
      used.at(i) = true;
    }
  }
  RC_ASSERT(std::ranges::all_of(used, std::identity{}));
}

}  // namespace
}  // namespace tarragon::policy
