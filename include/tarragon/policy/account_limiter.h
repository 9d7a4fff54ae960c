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

/** Requests per second that one entry was offered for one account. */
struct account_demand {
  account_id account;
  double requests_per_second = 0;
};

/** Answer to one request: admitted, or refused with the time after which to try again. */
struct limit_answer {
  bool admitted = true;
  duration retry_after{0};
};

/**
 * Keeps each account to its rate over all entries. Each entry publishes the rate it is offered
 * (admitted or not) and takes the part of the fleet-wide rate that its own part of the whole demand
 * is. Offered rates do not depend on the limits, so the shares settle after one exchange.
 */
class account_limiter final {
 public:
  /** @param requests_per_second fleet-wide rate; 0 means no limit. */
  void SetRate(account_id account, double requests_per_second);
  void RemoveAccount(account_id account);

  /** Counts one request against the account. Accounts without a rate are admitted. */
  limit_answer Admit(time_point now, account_id account);

  /** Replaces what is known of one other entry. Accounts not listed count as unused there. */
  void SetPeer(std::string_view vm, const std::vector<account_demand>& demand);
  void RemovePeer(std::string_view vm);

  /** @return this entry's demand per account with any, for the other entries; largest first. */
  std::vector<account_demand> LocalDemand(time_point now, std::size_t max_accounts) const;

  /** @return requests per second that this entry admits at present. */
  double LocalRate(time_point now, account_id account) const;

  void Validate() const;

 private:
  struct bucket {
    double fleet_rate = 0;
    double tokens = 1;
    /** Decayed count of requests; divided by the time constant it is the offered rate. */
    double offered = 0;
    double peer_demand = 0;
    time_point updated{};
    bool started = false;
  };

  static double OfferedRate(const bucket& account, time_point now);
  static double Share(const bucket& account, double offered_rate);

  std::unordered_map<account_id, bucket> accounts_;
  std::unordered_map<std::string, std::unordered_map<account_id, double>> peers_;
};

}  // namespace tarragon::policy

#endif  // TARRAGON_POLICY_ACCOUNT_LIMITER_H_
