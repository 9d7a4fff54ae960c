#ifndef TARRAGON_POLICY_ACCOUNT_LIMITER_H_
#define TARRAGON_POLICY_ACCOUNT_LIMITER_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "tarragon/base/clock.h"
#include "tarragon/base/ids.h"

namespace tarragon::policy {

/** Rate at which requests of one account arrive at one entry, admitted or not. */
struct account_demand {
  account_id account;
  double requests_per_second = 0;
};

/** Decision on one request: admitted, or refused with the time after which to retry. */
struct rate_limit_decision {
  bool admitted = true;
  duration retry_after{0};
};

/**
 * Enforces a rate limit per account over all entries. Each entry publishes the request rate that
 * arrives at it (admitted or not) and admits a share of the fleet-wide rate in proportion to its
 * share of the total demand. Arrival rates do not depend on the limits, so the shares converge
 * after one exchange.
 */
class account_limiter final {
 public:
  /** @param requests_per_second fleet-wide rate; 0 means no limit. */
  void SetRate(account_id account, double requests_per_second);
  void RemoveAccount(account_id account);

  /** Counts one request against the account. Accounts without a rate are admitted. */
  rate_limit_decision Admit(time_point now, account_id account);

  /** Replaces the demand known from another entry. Accounts not listed have no demand there. */
  void SetPeerDemand(std::string_view vm, const std::vector<account_demand>& demand);
  void RemovePeer(std::string_view vm);

  /** @return this entry's nonzero demand per account, to publish to the others; largest first. */
  std::vector<account_demand> LocalDemand(time_point now, std::size_t max_accounts) const;

  /** @return requests per second that this entry currently admits. */
  double LocalRate(time_point now, account_id account) const;

  void Validate() const;

 private:
  struct bucket {
    double fleet_rate = 0;
    double tokens = 1;
    /** Exponentially decayed request count; divided by the time constant, the arrival rate. */
    double decayed_requests = 0;
    double peer_demand = 0;
    time_point last_update{};
    bool is_initialized = false;
  };

  static double ArrivalRate(const bucket& account, time_point now);
  static double AdmittedRate(const bucket& account, double arrival_rate);

  std::unordered_map<account_id, bucket> accounts_;
  std::unordered_map<std::string, std::unordered_map<account_id, double>> peers_;
};

}  // namespace tarragon::policy

#endif  // TARRAGON_POLICY_ACCOUNT_LIMITER_H_
