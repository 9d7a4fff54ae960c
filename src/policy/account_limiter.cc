#include "tarragon/policy/account_limiter.h"

#include <algorithm>
#include <cmath>

#include "tarragon/base/invariant.h"

namespace tarragon::policy {

namespace {

using seconds = std::chrono::duration<double>;

// Time constant of the average arrival rate. A shorter one follows changes faster; a longer one
// gives accounts with few requests a steadier share.
constexpr seconds kDemandTimeConstant{2.0};
// Depth of a token bucket, as time at the entry's current rate.
constexpr seconds kBurstTime{1.0};
// Longest retry delay given to a caller. Gossip changes the shares much sooner.
constexpr seconds kMaxRetryAfter{30.0};

duration ToDuration(seconds time) {
  return std::chrono::duration_cast<duration>(time);
}

}  // namespace

void account_limiter::SetRate(account_id account, double requests_per_second) {
  const auto [found, added] = accounts_.try_emplace(account);
  found->second.fleet_rate = std::max(requests_per_second, 0.0);
  if (!added) {
    return;
  }
  for (const auto& [vm, demand] : peers_) {
    if (const auto known = demand.find(account); known != demand.end()) {
      found->second.peer_demand += known->second;
    }
  }
}

void account_limiter::RemoveAccount(account_id account) {
  accounts_.erase(account);
}

double account_limiter::ArrivalRate(const bucket& account, time_point now) {
  if (!account.is_initialized) {
    return 0;
  }
  const seconds age = now - account.last_update;
  return account.decayed_requests * std::exp(-age / kDemandTimeConstant) /
         kDemandTimeConstant.count();
}

double account_limiter::AdmittedRate(const bucket& account, double arrival_rate) {
  const double total = arrival_rate + account.peer_demand;
  if (total <= account.fleet_rate) {
    return account.fleet_rate - account.peer_demand;
  }
  return account.fleet_rate * arrival_rate / total;
}

rate_limit_decision account_limiter::Admit(time_point now, account_id account) {
  const auto found = accounts_.find(account);
  if (found == accounts_.end()) {
    return {};
  }
  bucket& state = found->second;
  const bool is_first = !state.is_initialized;
  const seconds elapsed = is_first ? duration::zero() : now - state.last_update;
  state.decayed_requests = ArrivalRate(state, now) * kDemandTimeConstant.count() + 1;
  state.last_update = now;
  state.is_initialized = true;
  if (state.fleet_rate <= 0) {
    return {};
  }
  const double rate = AdmittedRate(state, ArrivalRate(state, now));
  const double depth = std::max(1.0, rate * kBurstTime.count());
  // An idle account may send a burst, also to an entry that has just started.
  state.tokens = is_first ? depth : std::min(state.tokens + elapsed.count() * rate, depth);
  if (state.tokens >= 1) {
    state.tokens -= 1;
    return {};
  }
  const seconds wait{(1 - state.tokens) / std::max(rate, 1 / kMaxRetryAfter.count())};
  return {false, ToDuration(std::min(wait, kMaxRetryAfter))};
}

void account_limiter::SetPeerDemand(std::string_view vm,
                                    const std::vector<account_demand>& demand) {
  RemovePeer(vm);
  auto& known = peers_[std::string(vm)];
  for (const account_demand& account_rate : demand) {
    const double rate = std::max(account_rate.requests_per_second, 0.0);
    if (!known.emplace(account_rate.account, rate).second) {
      continue;
    }
    if (const auto found = accounts_.find(account_rate.account); found != accounts_.end()) {
      found->second.peer_demand += rate;
    }
  }
}

void account_limiter::RemovePeer(std::string_view vm) {
  const auto peer = peers_.find(std::string(vm));
  if (peer == peers_.end()) {
    return;
  }
  for (const auto& [account, rate] : peer->second) {
    if (const auto found = accounts_.find(account); found != accounts_.end()) {
      found->second.peer_demand = std::max(found->second.peer_demand - rate, 0.0);
    }
  }
  peers_.erase(peer);
}

std::vector<account_demand> account_limiter::LocalDemand(time_point now,
                                                         std::size_t max_accounts) const {
  // A demand below this rate barely changes the shares and is not worth space in a datagram.
  constexpr double kNegligibleRate = 0.01;
  std::vector<account_demand> result;
  for (const auto& [account, state] : accounts_) {
    const double rate = ArrivalRate(state, now);
    if (state.fleet_rate > 0 && rate > kNegligibleRate) {
      result.push_back({account, rate});
    }
  }
  std::ranges::sort(result, [](const account_demand& a, const account_demand& b) {
    return std::pair(-a.requests_per_second, a.account) <
           std::pair(-b.requests_per_second, b.account);
  });
  result.resize(std::min(result.size(), max_accounts));
  return result;
}

double account_limiter::LocalRate(time_point now, account_id account) const {
  const auto found = accounts_.find(account);
  return found == accounts_.end() ? 0
                                  : AdmittedRate(found->second, ArrivalRate(found->second, now));
}

void account_limiter::Validate() const {
  for (const auto& [account, state] : accounts_) {
    double sum = 0;
    for (const auto& [vm, demand] : peers_) {
      if (const auto known = demand.find(account); known != demand.end()) {
        sum += known->second;
      }
    }
    TARRAGON_INVARIANT(std::abs(sum - state.peer_demand) <= 1e-6 * std::max(sum, 1.0),
                       "peer_demand differs from the sum of the peers' reports");
    TARRAGON_INVARIANT(state.tokens >= 0, "token bucket is negative");
  }
}

}  // namespace tarragon::policy
