#ifndef TARRAGON_TESTS_POLICY_FLEET_NAMES_H_
#define TARRAGON_TESTS_POLICY_FLEET_NAMES_H_

#include <fmt/format.h>

#include <algorithm>
#include <deque>
#include <limits>
#include <numeric>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "tarragon/base/hash.h"
#include "tarragon/policy/endpoint_subset.h"

namespace tarragon::policy {

/** Generated names of VMs and endpoints for tests of endpoint subsets. */
class fleet_names final {
 public:
  fleet_names(std::size_t vms, std::size_t endpoints, std::size_t domains) {
    for (std::size_t i = 0; i < vms; ++i) {
      vms_.push_back(fmt::format("vm-{}", i));
    }
    for (std::size_t i = 0; i < endpoints; ++i) {
      endpoints_.emplace_back(fmt::format("endpoint-{}", i), fmt::format("domain-{}", i % domains));
    }
  }

  std::vector<std::string_view> vms() const { return {vms_.begin(), vms_.end()}; }

  std::vector<subset_endpoint> endpoints() const {
    std::vector<subset_endpoint> result;
    result.reserve(endpoints_.size());
    for (const auto& [name, domain] : endpoints_) {
      result.push_back({name, domain});
    }
    return result;
  }

  fleet_names WithoutVm(std::size_t i) const {
    fleet_names other = *this;
    other.vms_.erase(other.vms_.begin() + static_cast<std::ptrdiff_t>(i));
    return other;
  }

  fleet_names WithoutEndpoint(std::size_t i) const {
    fleet_names other = *this;
    other.endpoints_.erase(other.endpoints_.begin() + static_cast<std::ptrdiff_t>(i));
    return other;
  }

  std::vector<std::vector<std::size_t>> Assign(subset_options options = {}) const {
    return endpoint_subset::ComputeAll(vms(), endpoints(), options);
  }

  /** @return the assigned pairs of VM name and endpoint name. */
  std::set<std::pair<std::string, std::string>> Pairs(subset_options options = {}) const {
    std::set<std::pair<std::string, std::string>> pairs;
    const auto subsets = Assign(options);
    for (std::size_t entry = 0; entry < subsets.size(); ++entry) {
      for (const std::size_t i : subsets[entry]) {
        pairs.emplace(vms_[entry], endpoints_[i].first);
      }
    }
    return pairs;
  }

 private:
  std::deque<std::string> vms_;
  std::deque<std::pair<std::string, std::string>> endpoints_;
};

/** Distribution of load when each entry spreads an equal load evenly over its subset. */
struct load_spread {
  double max_to_mean = 0;
  double min_to_mean = 0;
  std::size_t unused = 0;
};

inline load_spread MeasureSpread(const std::vector<std::vector<std::size_t>>& subsets,
                                 std::size_t endpoints) {
  std::vector<double> load(endpoints, 0);
  for (const auto& subset : subsets) {
    for (const std::size_t i : subset) {
      load[i] += 1.0 / static_cast<double>(subset.size());
    }
  }
  const double mean = static_cast<double>(subsets.size()) / static_cast<double>(endpoints);
  const auto [min, max] = std::ranges::minmax(load);
  return {max / mean, min / mean, static_cast<std::size_t>(std::ranges::count(load, 0.0))};
}

inline std::size_t CountPairs(const std::vector<std::vector<std::size_t>>& subsets) {
  std::size_t pairs = 0;
  for (const auto& subset : subsets) {
    pairs += subset.size();
  }
  return pairs;
}

/** @return number of pairs that exist in only one of the two assignments. */
inline std::size_t CountMovedPairs(const fleet_names& before,
                                   const fleet_names& after,
                                   subset_options options = {}) {
  std::vector<std::pair<std::string, std::string>> moved;
  std::ranges::set_symmetric_difference(before.Pairs(options), after.Pairs(options),
                                        std::back_inserter(moved));
  return moved.size();
}

/** Rejected alternative: plain rendezvous hashing, where each entry takes its top endpoints. */
inline std::vector<std::vector<std::size_t>> PlainRendezvous(const fleet_names& fleet,
                                                             std::size_t size) {
  std::vector<std::vector<std::size_t>> subsets;
  const auto endpoints = fleet.endpoints();
  for (const std::string_view vm : fleet.vms()) {
    std::vector<std::pair<std::uint64_t, std::size_t>> ranking;
    const std::uint64_t seed = Hash64(vm);
    for (std::size_t i = 0; i < endpoints.size(); ++i) {
      ranking.emplace_back(Hash64(endpoints[i].name, seed), i);
    }
    std::ranges::nth_element(ranking, ranking.begin() + static_cast<std::ptrdiff_t>(size));
    std::vector<std::size_t>& subset = subsets.emplace_back();
    for (std::size_t i = 0; i < size; ++i) {
      subset.push_back(ranking[i].second);
    }
  }
  return subsets;
}

}  // namespace tarragon::policy

#endif  // TARRAGON_TESTS_POLICY_FLEET_NAMES_H_
