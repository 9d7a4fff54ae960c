#ifndef TARRAGON_POLICY_ENDPOINT_SUBSET_H_
#define TARRAGON_POLICY_ENDPOINT_SUBSET_H_

#include <cstddef>
#include <cstdint>
#include <span>
#include <string_view>
#include <vector>

namespace tarragon::policy {

/** An endpoint as far as the choice of subsets needs it. */
struct subset_endpoint {
  std::string_view name;
  std::string_view failure_domain;
};

struct subset_options {
  /** Most endpoints that one entry sends to. */
  std::size_t size_bound = 64;
  /**
   * Share of `size_bound` that is filled on average. The rest lets an endpoint find an entry with
   * room near the top of its ranking, which keeps chains of displaced pairs short.
   */
  double fill = 0.9;
};

/**
 * Assigns to each entry the endpoints of one service that it sends to. Every entry computes the
 * same assignment from the same lists, in any order.
 *
 * Each endpoint ranks the entries by rendezvous hash and takes the first ones that have room in the
 * endpoint's failure domain. So each endpoint is used by nearly the same number of entries, each
 * entry keeps to `size_bound`, and its endpoints are spread over the failure domains.
 */
class endpoint_subset final {
 public:
  /**
   * Takes time in proportion to entries times endpoints; call it when a list changes only.
   * @param own_vm name of this entry's VM; counted as an entry even if `vms` lacks it.
   * @return positions in `endpoints`, rising; all of them if there are at most `size_bound`.
   */
  static std::vector<std::size_t> Compute(std::string_view own_vm,
                                          std::span<const std::string_view> vms,
                                          std::span<const subset_endpoint> endpoints,
                                          subset_options options = {});

  /** @return for each VM in the order of `vms`, what `Compute` returns for it. */
  static std::vector<std::vector<std::size_t>> ComputeAll(
      std::span<const std::string_view> vms,
      std::span<const subset_endpoint> endpoints,
      subset_options options = {});
};

}  // namespace tarragon::policy

#endif  // TARRAGON_POLICY_ENDPOINT_SUBSET_H_
