#include "tarragon/policy/endpoint_subset.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <numeric>
#include <optional>

#include "tarragon/base/hash.h"
#include "tarragon/base/invariant.h"

namespace tarragon::policy {

namespace {

struct ranked_entry {
  std::uint64_t score = 0;
  std::size_t entry = 0;
  auto operator<=>(const ranked_entry&) const = default;
};

std::uint64_t HashWithSeed(std::uint64_t value, std::uint64_t seed) {
  return Hash64({reinterpret_cast<const char*>(&value), sizeof(value)}, seed);
}

/** @return fraction in [0, 1) that depends only on the endpoint. */
double HashToUnitInterval(std::uint64_t endpoint) {
  constexpr std::uint64_t kRoundingSeed = 1;
  return static_cast<double>(HashWithSeed(endpoint, kRoundingSeed) >> 11) * 0x1p-53;
}

std::vector<std::size_t> AllIndices(std::size_t count) {
  std::vector<std::size_t> indices(count);
  std::iota(indices.begin(), indices.end(), std::size_t{0});
  return indices;
}

/**
 * @return maximum number of endpoints of each failure domain in one subset. Rounded up, because
 *     distributing the remainder would move assignments in all domains whenever a size changes.
 */
std::vector<std::size_t> ComputeDomainQuotas(const std::vector<std::size_t>& domain_sizes,
                                             std::size_t endpoints,
                                             std::size_t bound) {
  std::vector<std::size_t> quotas(domain_sizes.size());
  std::ranges::transform(domain_sizes, quotas.begin(), [&](std::size_t size) {
    return (bound * size + endpoints - 1) / endpoints;
  });
  return quotas;
}

/** Computes one assignment of endpoints to entries. */
class subset_assignment final {
 public:
  subset_assignment(std::span<const std::string_view> vms,
                    std::span<const subset_endpoint> endpoints,
                    subset_options options)
      : endpoints_(endpoints) {
    // With few entries the bound is raised, because each endpoint needs at least one entry.
    const double min_bound = std::ceil(Ratio(endpoints.size(), vms.size()) / options.fill);
    bound_ = std::max(options.size_bound, static_cast<std::size_t>(min_bound));
    entries_per_endpoint_ =
        options.fill * static_cast<double>(bound_) * Ratio(vms.size(), endpoints.size());
    for (const std::string_view vm : vms) {
      vm_hashes_.push_back(Hash64(vm));
    }
    for (const subset_endpoint& endpoint : endpoints) {
      endpoint_hashes_.push_back(Hash64(endpoint.name));
    }
    ComputeDomains();
    subsets_.resize(vms.size());
    used_quotas_.assign(vms.size() * quotas_.size(), 0);
  }

  std::vector<std::vector<std::size_t>> Run() {
    std::vector<std::size_t> order = AllIndices(endpoints_.size());
    std::ranges::sort(order, {}, [this](std::size_t i) {
      return std::pair(endpoint_hashes_[i], endpoints_[i].name);
    });
    for (const std::size_t endpoint : order) {
      AssignEndpoint(endpoint);
    }
    for (std::vector<std::size_t>& subset : subsets_) {
      TARRAGON_INVARIANT(subset.size() <= bound_, "subset exceeds its size bound");
      std::ranges::sort(subset);
    }
    return std::move(subsets_);
  }

 private:
  static double Ratio(std::size_t a, std::size_t b) {
    return static_cast<double>(a) / static_cast<double>(b);
  }

  void ComputeDomains() {
    std::map<std::string_view, std::size_t> sizes;
    for (const subset_endpoint& endpoint : endpoints_) {
      sizes[endpoint.failure_domain] += 1;
    }
    std::vector<std::size_t> domain_sizes;
    std::map<std::string_view, std::size_t> domain_indices;
    for (const auto& [name, size] : sizes) {
      domain_indices[name] = domain_sizes.size();
      domain_sizes.push_back(size);
    }
    for (const subset_endpoint& endpoint : endpoints_) {
      domains_.push_back(domain_indices[endpoint.failure_domain]);
    }
    quotas_ = ComputeDomainQuotas(domain_sizes, endpoints_.size(), bound_);
  }

  std::size_t TargetEntryCount(std::size_t endpoint) const {
    // Rounding by hash changes few endpoints' counts when the number of entries changes.
    const double target_count =
        std::floor(entries_per_endpoint_ + HashToUnitInterval(endpoint_hashes_[endpoint]));
    return std::clamp<std::size_t>(static_cast<std::size_t>(target_count), 1, vm_hashes_.size());
  }

  std::size_t& UsedQuota(std::size_t entry, std::size_t domain) {
    return used_quotas_[entry * quotas_.size() + domain];
  }

  void AssignEndpoint(std::size_t endpoint) {
    ranking_.clear();
    for (std::size_t entry = 0; entry < vm_hashes_.size(); ++entry) {
      ranking_.push_back({HashWithSeed(endpoint_hashes_[endpoint], vm_hashes_[entry]), entry});
    }
    std::ranges::make_heap(ranking_);
    const std::size_t target_count = TargetEntryCount(endpoint);
    const std::size_t domain = domains_[endpoint];
    std::size_t assigned = 0;
    std::optional<std::size_t> fallback;
    while (assigned < target_count && !ranking_.empty()) {
      std::ranges::pop_heap(ranking_);
      const std::size_t entry = ranking_.back().entry;
      ranking_.pop_back();
      if (subsets_[entry].size() >= bound_) {
        continue;
      }
      if (UsedQuota(entry, domain) >= quotas_[domain]) {
        fallback = fallback ? fallback : entry;
        continue;
      }
      AddToSubset(entry, endpoint);
      assigned += 1;
    }
    // If every entry has used its quota, one entry exceeds it, so that the endpoint is still used.
    if (assigned == 0 && fallback) {
      AddToSubset(*fallback, endpoint);
    }
  }

  void AddToSubset(std::size_t entry, std::size_t endpoint) {
    subsets_[entry].push_back(endpoint);
    UsedQuota(entry, domains_[endpoint]) += 1;
  }

  std::span<const subset_endpoint> endpoints_;
  std::size_t bound_ = 0;
  double entries_per_endpoint_ = 0;
  std::vector<std::uint64_t> vm_hashes_;
  std::vector<std::uint64_t> endpoint_hashes_;
  std::vector<std::size_t> domains_;
  std::vector<std::size_t> quotas_;
  std::vector<std::vector<std::size_t>> subsets_;
  std::vector<std::size_t> used_quotas_;
  std::vector<ranked_entry> ranking_;
};

}  // namespace

std::vector<std::size_t> endpoint_subset::Compute(std::string_view own_vm,
                                                  std::span<const std::string_view> vms,
                                                  std::span<const subset_endpoint> endpoints,
                                                  subset_options options) {
  if (endpoints.size() <= options.size_bound) {
    return AllIndices(endpoints.size());
  }
  std::vector<std::string_view> entries(vms.begin(), vms.end());
  const auto own = std::ranges::find(entries, own_vm);
  const auto position = static_cast<std::size_t>(own - entries.begin());
  if (own == entries.end()) {
    entries.push_back(own_vm);
  }
  return ComputeAll(entries, endpoints, options)[position];
}

std::vector<std::vector<std::size_t>> endpoint_subset::ComputeAll(
    std::span<const std::string_view> vms,
    std::span<const subset_endpoint> endpoints,
    subset_options options) {
  if (vms.empty()) {
    return {};
  }
  if (endpoints.size() <= options.size_bound) {
    return std::vector(vms.size(), AllIndices(endpoints.size()));
  }
  return subset_assignment(vms, endpoints, options).Run();
}

}  // namespace tarragon::policy
