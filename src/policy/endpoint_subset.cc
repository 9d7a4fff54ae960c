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

std::uint64_t HashOf(std::uint64_t value, std::uint64_t seed) {
  return Hash64({reinterpret_cast<const char*>(&value), sizeof(value)}, seed);
}

/** Fraction in [0, 1) that depends on the endpoint only. */
double UnitHash(std::uint64_t endpoint) {
  constexpr std::uint64_t kRoundingSeed = 1;
  return static_cast<double>(HashOf(endpoint, kRoundingSeed) >> 11) * 0x1p-53;
}

std::vector<std::size_t> AllPositions(std::size_t count) {
  std::vector<std::size_t> positions(count);
  std::iota(positions.begin(), positions.end(), std::size_t{0});
  return positions;
}

/**
 * Part of the size bound that one entry may fill from each domain. Rounded up, as giving the
 * remainder to some domains would move pairs in all of them whenever the sizes change.
 */
std::vector<std::size_t> DomainQuotas(const std::vector<std::size_t>& domain_sizes,
                                      std::size_t endpoints,
                                      std::size_t bound) {
  std::vector<std::size_t> quotas(domain_sizes.size());
  std::ranges::transform(domain_sizes, quotas.begin(), [&](std::size_t size) {
    return (bound * size + endpoints - 1) / endpoints;
  });
  return quotas;
}

/** State of one assignment of endpoints to entries. */
class assignment final {
 public:
  assignment(std::span<const std::string_view> vms,
             std::span<const subset_endpoint> endpoints,
             subset_options options)
      : endpoints_(endpoints) {
    // With few entries the bound rises, as each endpoint needs at least one entry.
    const double needed = std::ceil(Ratio(endpoints.size(), vms.size()) / options.fill);
    bound_ = std::max(options.size_bound, static_cast<std::size_t>(needed));
    entries_per_endpoint_ =
        options.fill * static_cast<double>(bound_) * Ratio(vms.size(), endpoints.size());
    for (const std::string_view vm : vms) {
      vm_hashes_.push_back(Hash64(vm));
    }
    for (const subset_endpoint& endpoint : endpoints) {
      endpoint_hashes_.push_back(Hash64(endpoint.name));
    }
    CountDomains();
    subsets_.resize(vms.size());
    used_.assign(vms.size() * quotas_.size(), 0);
  }

  std::vector<std::vector<std::size_t>> Run() {
    std::vector<std::size_t> order = AllPositions(endpoints_.size());
    std::ranges::sort(order, {}, [this](std::size_t i) {
      return std::pair(endpoint_hashes_[i], endpoints_[i].name);
    });
    for (const std::size_t endpoint : order) {
      Place(endpoint);
    }
    for (std::vector<std::size_t>& subset : subsets_) {
      TARRAGON_INVARIANT(subset.size() <= bound_, "subset above its size bound");
      std::ranges::sort(subset);
    }
    return std::move(subsets_);
  }

 private:
  static double Ratio(std::size_t a, std::size_t b) {
    return static_cast<double>(a) / static_cast<double>(b);
  }

  void CountDomains() {
    std::map<std::string_view, std::size_t> sizes;
    for (const subset_endpoint& endpoint : endpoints_) {
      sizes[endpoint.failure_domain] += 1;
    }
    std::vector<std::size_t> domain_sizes;
    std::map<std::string_view, std::size_t> numbers;
    for (const auto& [name, size] : sizes) {
      numbers[name] = domain_sizes.size();
      domain_sizes.push_back(size);
    }
    for (const subset_endpoint& endpoint : endpoints_) {
      domains_.push_back(numbers[endpoint.failure_domain]);
    }
    quotas_ = DomainQuotas(domain_sizes, endpoints_.size(), bound_);
  }

  std::size_t WantedEntries(std::size_t endpoint) const {
    // Rounding by hash changes few endpoints at a time as the number of entries changes.
    const double wanted = std::floor(entries_per_endpoint_ + UnitHash(endpoint_hashes_[endpoint]));
    return std::clamp<std::size_t>(static_cast<std::size_t>(wanted), 1, vm_hashes_.size());
  }

  std::size_t& Used(std::size_t entry, std::size_t domain) {
    return used_[entry * quotas_.size() + domain];
  }

  void Place(std::size_t endpoint) {
    ranking_.clear();
    for (std::size_t entry = 0; entry < vm_hashes_.size(); ++entry) {
      ranking_.push_back({HashOf(endpoint_hashes_[endpoint], vm_hashes_[entry]), entry});
    }
    std::ranges::make_heap(ranking_);
    const std::size_t wanted = WantedEntries(endpoint);
    const std::size_t domain = domains_[endpoint];
    std::size_t placed = 0;
    std::optional<std::size_t> spare;
    while (placed < wanted && !ranking_.empty()) {
      std::ranges::pop_heap(ranking_);
      const std::size_t entry = ranking_.back().entry;
      ranking_.pop_back();
      if (subsets_[entry].size() >= bound_) {
        continue;
      }
      if (Used(entry, domain) >= quotas_[domain]) {
        spare = spare ? spare : entry;
        continue;
      }
      Add(entry, endpoint);
      placed += 1;
    }
    // An endpoint that no entry may take under its quota is still used by one.
    if (placed == 0 && spare) {
      Add(*spare, endpoint);
    }
  }

  void Add(std::size_t entry, std::size_t endpoint) {
    subsets_[entry].push_back(endpoint);
    Used(entry, domains_[endpoint]) += 1;
  }

  std::span<const subset_endpoint> endpoints_;
  std::size_t bound_ = 0;
  double entries_per_endpoint_ = 0;
  std::vector<std::uint64_t> vm_hashes_;
  std::vector<std::uint64_t> endpoint_hashes_;
  std::vector<std::size_t> domains_;
  std::vector<std::size_t> quotas_;
  std::vector<std::vector<std::size_t>> subsets_;
  std::vector<std::size_t> used_;
  std::vector<ranked_entry> ranking_;
};

}  // namespace

std::vector<std::size_t> endpoint_subset::Compute(std::string_view own_vm,
                                                  std::span<const std::string_view> vms,
                                                  std::span<const subset_endpoint> endpoints,
                                                  subset_options options) {
  if (endpoints.size() <= options.size_bound) {
    return AllPositions(endpoints.size());
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
    return std::vector(vms.size(), AllPositions(endpoints.size()));
  }
  return assignment(vms, endpoints, options).Run();
}

}  // namespace tarragon::policy
