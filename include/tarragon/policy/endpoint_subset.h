#ifndef TARRAGON_POLICY_ENDPOINT_SUBSET_H_
#define TARRAGON_POLICY_ENDPOINT_SUBSET_H_

#include <cstddef>
#include <cstdint>
#include <span>
#include <string_view>
#include <vector>

namespace tarragon::policy {

/** Endpoint attributes that the assignment of subsets depends on. */
struct subset_endpoint {
  std::string_view name;
  std::string_view failure_domain;
};

struct subset_options {
  /** Maximum number of endpoints that one entry sends to. */
  std::size_t size_bound = 64;
  /**
   * Share of `size_bound` that is used on average. The spare capacity lets an endpoint find an
   * entry with room near the top of its ranking, so that a change displaces few other assignments.
   */
  double fill = 0.9;
};

/**
 * Assigns to each entry the subset of a service's endpoints that it sends to. Every entry computes
 * the same assignment from the same lists, whatever their order.
 *
 * For each endpoint, the entries are ranked by rendezvous hash. The endpoint is assigned to the
 * first entries with room for its failure domain. Each endpoint is thus used by nearly the same
 * number of entries, subsets stay within `size_bound`, and a subset spans the failure domains.
 */
class endpoint_subset final {
 public:
  /**
   * Takes time proportional to entries times endpoints; call it only when a list changes.
   * @param own_vm name of this entry's VM; counted as an entry even if `vms` lacks it.
   * @return indices into `endpoints`, ascending; all of them if there are at most `size_bound`.
   */
  static std::vector<std::size_t> Compute(std::string_view own_vm,
                                          std::span<const std::string_view> vms,
                                          std::span<const subset_endpoint> endpoints,
                                          subset_options options = {});

  /** @return the result of `Compute` for each VM, in the order of `vms`. */
  static std::vector<std::vector<std::size_t>> ComputeAll(
      std::span<const std::string_view> vms,
      std::span<const subset_endpoint> endpoints,
      subset_options options = {});
};

}  // namespace tarragon::policy

#endif  // TARRAGON_POLICY_ENDPOINT_SUBSET_H_
