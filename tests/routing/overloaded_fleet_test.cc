#include <fmt/format.h>
#include <gtest/gtest.h>

#include <algorithm>
#include <chrono>
#include <queue>
#include <random>
#include <vector>

#include "tarragon/routing/endpoint_picker.h"

namespace tarragon::routing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kDaemons = 66;
constexpr std::size_t kEndpoints = 20;
constexpr double kPerSecond = 1;
constexpr seconds kWindow{4};
constexpr milliseconds kReportDelay{60};
constexpr time_point kStart{seconds(100)};

/** Daemons with more waiting requests than all their limited endpoints take. */
class overloaded_fleet final {
 public:
  explicit overloaded_fleet(std::uint64_t seed) : random_(seed), arrivals_(kEndpoints) {
    registries_.resize(kDaemons);
    for (endpoint_registry& registry : registries_) {
      for (std::size_t i = 0; i < kEndpoints; ++i) {
        endpoint_entry entry;
        entry.id = Id(i);
        entry.service = "s";
        entry.slots = 24;
        registry.Put(kStart, 1, entry);
        registry.Find(Id(i))->limit.RecordAnswer(kPerSecond);
      }
    }
  }

  /** Plays `waiting` requests that look for room every 25 to 75 ms; others take their places. */
  void Play(std::size_t waiting, seconds time) {
    std::vector<std::size_t> waiting_at(kDaemons);
    for (std::size_t i = 0; i < waiting; ++i) {
      const std::size_t daemon = random_() % kDaemons;
      ++waiting_at[daemon];
      polls_.push({kStart + PollDelay(), daemon, kStart});
    }
    while (polls_.top().at < kStart + time) {
      const poll next = polls_.top();
      polls_.pop();
      const bool sent = Poll(next, waiting_at[next.daemon]);
      polls_.push({next.at + PollDelay(), next.daemon, sent ? next.at : next.waiting_since});
    }
  }

  std::size_t MaxArrivals(std::size_t endpoint) const {
    const std::vector<arrival>& all = arrivals_[endpoint];
    std::size_t most = 0;
    for (auto first = all.begin(); first != all.end(); ++first) {
      const auto end =
          std::ranges::lower_bound(first, all.end(), first->at + kWindow, {}, &arrival::at);
      most = std::max(most, static_cast<std::size_t>(end - first));
    }
    return most;
  }
  std::size_t TotalArrivals(std::size_t endpoint) const { return arrivals_[endpoint].size(); }

 private:
  struct poll {
    time_point at;
    std::size_t daemon;
    time_point waiting_since;
    bool operator>(const poll& other) const { return at > other.at; }
  };
  struct arrival {
    time_point at;
    std::size_t daemon;
  };

  static std::string Id(std::size_t endpoint) { return fmt::format("e{:02}", endpoint); }

  duration PollDelay() { return milliseconds(25 + random_() % 50); }

  /** @return whether the request was sent. */
  bool Poll(const poll& now, std::size_t waiting) {
    endpoint_registry& registry = registries_[now.daemon];
    for (std::size_t i = 0; i < kEndpoints; ++i) {
      registry.Find(Id(i))->limit.SetPeers(now.at, {}, PeerSends(i, now));
    }
    pick_request wanted;
    wanted.service = "s";
    wanted.entropy = random_();
    wanted.contenders = kDaemons * waiting;
    wanted.waited = now.at - now.waiting_since;
    const endpoint_ptr chosen = picker_.Pick(now.at, registry, wanted).chosen;
    if (chosen) {
      chosen->limit.RecordSend(now.at);
      arrivals_[std::stoul(chosen->entry.id.substr(1))].push_back({now.at, now.daemon});
    }
    return chosen != nullptr;
  }

  std::uint32_t PeerSends(std::size_t endpoint, const poll& now) const {
    const auto& all = arrivals_[endpoint];
    const auto first =
        std::ranges::lower_bound(all, now.at - kWindow + duration(1), {}, &arrival::at);
    return static_cast<std::uint32_t>(std::count_if(first, all.end(), [&](const arrival& sent) {
      return sent.daemon != now.daemon && sent.at + kReportDelay <= now.at;
    }));
  }

  std::mt19937_64 random_;
  std::vector<endpoint_registry> registries_;
  endpoint_picker picker_;
  std::vector<std::vector<arrival>> arrivals_;
  std::priority_queue<poll, std::vector<poll>, std::greater<>> polls_;
};

// Guards against requests that wait at all daemons and take the same room at once, before the
// daemons have heard of each other's sends (dobrescu-gaz-grown: 23 requests in 4 s instead of 11).
TEST(OverloadedFleetTest, WaitingRequestsDoNotAllTakeTheSameRoom) {
  constexpr seconds kTime{20};
  constexpr double kMaxArrivals = 1.5 * kPerSecond * kWindow.count() + 5;
  for (const std::size_t waiting : {30, 100, 300}) {
    for (const std::uint64_t seed : {1, 2, 3}) {
      overloaded_fleet fleet(seed);
      fleet.Play(waiting, kTime);
      std::size_t total = 0;
      for (std::size_t endpoint = 0; endpoint < kEndpoints; ++endpoint) {
        EXPECT_LE(fleet.MaxArrivals(endpoint), kMaxArrivals) << waiting << " seed " << seed;
        total += fleet.TotalArrivals(endpoint);
      }
      EXPECT_GE(static_cast<double>(total), 0.7 * kPerSecond * kEndpoints * kTime.count())
          << waiting << " seed " << seed;
    }
  }
}

}  // namespace
}  // namespace tarragon::routing
