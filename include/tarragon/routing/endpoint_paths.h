#ifndef TARRAGON_ROUTING_ENDPOINT_PATHS_H_
#define TARRAGON_ROUTING_ENDPOINT_PATHS_H_

#include <chrono>
#include <cstddef>
#include <optional>
#include <set>
#include <string>

#include "tarragon/base/clock.h"

namespace tarragon::routing {

/**
 * Tells an endpoint that does not answer from a network that reaches no endpoint of a service, by
 * what the daemon's own connection attempts show. Only new connections count: established ones may
 * go on while the network rejects new ones.
 */
class endpoint_paths final {
 public:
  /**
   * A connection attempt has failed, or an established connection was reset.
   * @param known_endpoints number of endpoints of the service.
   * @return whether the daemon has just become cut off.
   */
  bool OnConnectFailed(time_point now, const std::string& address, std::size_t known_endpoints);

  /**
   * A connection was established.
   * @param started_at start of the attempt.
   * @return whether the daemon has just ceased to be cut off.
   */
  bool OnConnected(time_point started_at);

  /** No endpoint of the service can be reached directly. */
  bool is_cut() const { return is_cut_; }
  bool HasFailed(const std::string& address) const { return failed_.contains(address); }

  void Validate() const;

 private:
  /** Different endpoints that must fail in a row: one that has ended is no reason. */
  static constexpr std::size_t kMinFailed = 2;
  /** Failures that are further apart than this say nothing about one another. */
  static constexpr std::chrono::seconds kMaxGap{5};

  /** Endpoints that have failed since the last connection was established. */
  std::set<std::string> failed_;
  time_point first_failure_at_;
  time_point last_failure_at_;
  bool is_cut_ = false;
};

}  // namespace tarragon::routing

#endif  // TARRAGON_ROUTING_ENDPOINT_PATHS_H_
