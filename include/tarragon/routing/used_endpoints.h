#ifndef TARRAGON_ROUTING_USED_ENDPOINTS_H_
#define TARRAGON_ROUTING_USED_ENDPOINTS_H_

#include <chrono>
#include <cstddef>
#include <vector>

#include "tarragon/base/clock.h"
#include "tarragon/routing/endpoint_registry.h"

namespace tarragon::routing {

/** @return whether this daemon has anything to tell other daemons about the endpoint. */
bool HasOwnReport(time_point now, const endpoint& known);

/**
 * Keeps the endpoints about which this daemon may have something to tell. A daemon of a large fleet
 * uses few of its endpoints and reports their loads many times a second, so that it does not scan
 * the whole list for them each time.
 */
class used_endpoints final {
 public:
  /** Lists of up to this length are scanned at each call of `Collect`. */
  static constexpr std::size_t kMaxScannedEachTime = 256;
  /** Interval between the scans of a longer list. */
  static constexpr std::chrono::seconds kScanInterval{1};

  /** Must be called for each endpoint at which this daemon reserves load; others wait for a scan.
   */
  void Add(const endpoint_ptr& target);

  /**
   * @return the listed endpoints that have been added since the last scan, or that had something to
   *     tell then; valid until the next call.
   */
  const std::vector<endpoint_ptr>& Collect(time_point now, const endpoint_registry& registry);

  /** @return number of endpoints that the last call of `Collect` returned or were added since. */
  std::size_t size() const { return endpoints_.size(); }

 private:
  void Scan(time_point now, const endpoint_registry& registry);

  /** Ordered by address of the object, without duplicates. */
  std::vector<endpoint_ptr> endpoints_;
  time_point next_scan_;
};

}  // namespace tarragon::routing

#endif  // TARRAGON_ROUTING_USED_ENDPOINTS_H_
