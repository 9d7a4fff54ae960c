#include "tarragon/policy/account_limiter.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <random>
#include <string>
#include <tuple>
#include <vector>

namespace tarragon::policy {
namespace {

using namespace std::chrono_literals;

constexpr time_point kStart{1h};
constexpr account_id kAccount{7};
constexpr double kFleetRate = 100;

/** Entries that exchange their demand once a second; reports arrive one second late. */
class simulated_entries final {
 public:
  explicit simulated_entries(std::size_t count) { Resize(count); }

  void Resize(std::size_t count) {
    while (limiters_.size() < count) {
      limiters_.emplace_back();
      limiters_.back().SetRate(kAccount, kFleetRate);
    }
    for (std::size_t removed = count; removed < limiters_.size(); ++removed) {
      for (account_limiter& limiter : limiters_) {
        limiter.RemovePeer(std::to_string(removed));
      }
    }
    limiters_.resize(count);
    published_.assign(count, {});
  }

  /** @param offered requests per second at each entry. @return requests admitted per second. */
  double Run(duration time, const std::vector<double>& offered) {
    std::uint64_t admitted = 0;
    const time_point end = now_ + time;
    for (; now_ < end; now_ += 1ms) {
      for (std::size_t i = 0; i < limiters_.size(); ++i) {
        if (std::bernoulli_distribution(offered[i] / 1000)(random_)) {
          admitted += limiters_[i].Admit(now_, kAccount).admitted ? 1 : 0;
        }
      }
      if (now_.time_since_epoch() % 1s == 0ms) {
        Exchange();
      }
    }
    return static_cast<double>(admitted) / std::chrono::duration<double>(time).count();
  }

 private:
  void Exchange() {
    for (std::size_t from = 0; from < limiters_.size(); ++from) {
      for (std::size_t to = 0; to < limiters_.size(); ++to) {
        if (from != to) {
          limiters_[to].SetPeerDemand(std::to_string(from), published_[from]);
        }
      }
    }
    for (std::size_t i = 0; i < limiters_.size(); ++i) {
      published_[i] = limiters_[i].LocalDemand(now_, 10);
      limiters_[i].Validate();
    }
  }

  std::vector<account_limiter> limiters_;
  std::vector<std::vector<account_demand>> published_;
  time_point now_ = kStart;
  std::mt19937_64 random_{5};
};

// Guards against entries that together admit several times the account's rate.
TEST(AccountLimiter, EntriesTogetherKeepToTheFleetRate) {
  simulated_entries entries(8);
  const std::vector<double> offered(8, 50);
  entries.Run(10s, offered);
  EXPECT_NEAR(entries.Run(20s, offered), kFleetRate, kFleetRate * 0.1);
}

// Guards against limiting an account below its rate because its callers use few entries.
TEST(AccountLimiter, OneBusyEntryGetsTheFullRate) {
  simulated_entries entries(8);
  std::vector<double> offered(8, 0);
  offered[3] = 300;
  entries.Run(10s, offered);
  EXPECT_NEAR(entries.Run(20s, offered), kFleetRate, kFleetRate * 0.1);
}

// Guards against shares that do not converge again after entries join or leave or load shifts.
TEST(AccountLimiter, ConvergesAfterEntriesJoinAndLeave) {
  simulated_entries entries(8);
  entries.Run(10s, std::vector<double>(8, 50));
  entries.Resize(3);
  entries.Run(10s, {50, 50, 200});
  EXPECT_NEAR(entries.Run(20s, {50, 50, 200}), kFleetRate, kFleetRate * 0.1);
  entries.Resize(12);
  const std::vector<double> offered(12, 40);
  entries.Run(10s, offered);
  EXPECT_NEAR(entries.Run(20s, offered), kFleetRate, kFleetRate * 0.1);
}

// Guards against refusing requests of an account that stays within its rate.
TEST(AccountLimiter, BelowTheRateNothingIsRefused) {
  simulated_entries entries(4);
  const std::vector<double> offered(4, 15);
  entries.Run(5s, offered);
  EXPECT_NEAR(entries.Run(30s, offered), 60, 60 * 0.07);
}

// Guards against a newly started entry that refuses the second request of an account far below its
// rate (an end-to-end test failed with 429 when three calls took less than a millisecond).
TEST(AccountLimiter, NewEntryAdmitsABurst) {
  account_limiter limiter;
  limiter.SetRate(kAccount, kFleetRate);
  for (int request = 0; request < kFleetRate; ++request) {
    EXPECT_TRUE(limiter.Admit(kStart, kAccount).admitted) << request;
  }
  EXPECT_FALSE(limiter.Admit(kStart, kAccount).admitted);
}

// Guards against a refusal without a usable retry time, so that clients have to guess.
TEST(AccountLimiter, RefusalHasARetryTime) {
  account_limiter limiter;
  limiter.SetRate(kAccount, 2);
  time_point now = kStart;
  rate_limit_decision decision;
  while ((decision = limiter.Admit(now, kAccount)).admitted) {
  }
  EXPECT_GT(decision.retry_after, 0s);
  EXPECT_LE(decision.retry_after, 1s);
  EXPECT_TRUE(limiter.Admit(now + decision.retry_after + 600ms, kAccount).admitted);
}

// Guards against a sum of peer demand that drifts as reports replace each other.
RC_GTEST_PROP(AccountLimiterProperty,
              PeerSumsStayExact,
              (const std::vector<std::tuple<std::uint8_t, std::uint8_t, std::uint16_t>>& calls)) {
  account_limiter limiter;
  time_point now = kStart;
  for (const auto& [call, number, rate] : calls) {
    const account_id account{number % 4U};
    const std::string vm = std::to_string(number % 3U);
    now += std::chrono::milliseconds(rate % 100);
    switch (call % 5) {
      case 0:
        limiter.SetRate(account, rate % 50);
        break;
      case 1:
        limiter.SetPeerDemand(vm, {{account, rate / 7.0}, {{9}, 1.0}});
        break;
      case 2:
        limiter.RemovePeer(vm);
        break;
      case 3:
        limiter.RemoveAccount(account);
        break;
      default:
        limiter.Admit(now, account);
    }
    limiter.Validate();
    RC_ASSERT(limiter.LocalRate(now, account) >= 0);
  }
}

}  // namespace
}  // namespace tarragon::policy
