#ifndef TARRAGON_TESTS_ROUTING_FAKE_RELAY_FLEET_H_
#define TARRAGON_TESTS_ROUTING_FAKE_RELAY_FLEET_H_

#include <fmt/format.h>

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <iterator>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "tarragon/routing/relay_plan.h"
#include "tarragon/routing/retry_backoff.h"
#include "tarragon/routing/source_selector.h"
#include "tarragon/routing/store_pace.h"

namespace tarragon::routing {

/** Daemons with source selectors, a store and a network without sockets; time is stepped. */
class fake_relay_fleet final {
 public:
  static constexpr std::chrono::milliseconds kStep{50};
  /** Time between two responses of the store to one reader. */
  static constexpr std::chrono::milliseconds kPollInterval{600};

  enum class condition : std::uint8_t {
    kRunning,
    /** Neither runs nor responds, and its peers are not told, as after a loss of power. */
    kSilent,
    /** The process is gone; the VM rejects connections. */
    kKilled,
  };

  struct daemon {
    relay_member member;
    condition state = condition::kRunning;
    bool reaches_store = true;
    /** Other daemons reach it, and it reaches them. */
    bool reaches_peers = true;
    std::optional<source_selector> selector;
    std::uint64_t version = 0;
    time_point confirmed_at;
    time_point next_poll;
    retry_backoff backoff{kInitialStoreBackoff, std::chrono::milliseconds(0)};
    /** The last call to the store has failed. */
    bool store_lost = false;
    std::optional<std::string> linked_to;
    std::optional<time_point> link_confirmed_at;
  };

  fake_relay_fleet(std::size_t size, std::size_t domains, std::uint64_t seed) : random_(seed) {
    std::vector<relay_member> members;
    members.reserve(size);
    for (std::size_t i = 0; i < size; ++i) {
      members.push_back({fmt::format("10.{}.{}.1:7200", i / 100, i % 100),
                         fmt::format("domain-{}", i % domains)});
    }
    for (const relay_member& member : members) {
      daemon& added = daemons[member.address];
      added.member = member;
    }
    std::ranges::for_each(daemons, [&](auto& entry) { StartDaemon(entry.second); });
  }

  void StartDaemon(daemon& target) {
    std::vector<relay_member> members;
    std::ranges::transform(daemons, std::back_inserter(members),
                           [](const auto& entry) { return entry.second.member; });
    target.state = condition::kRunning;
    target.version = 0;
    target.linked_to.reset();
    target.link_confirmed_at.reset();
    target.selector.emplace(now, random_());
    target.selector->SetPlan(now, MakeRelayPlan(members, target.member));
  }

  void RunFor(std::chrono::milliseconds time) {
    for (const time_point end = now + time; now < end; now += kStep) {
      for (auto& [address, target] : daemons) {
        if (target.state == condition::kRunning) {
          Step(target);
        }
      }
    }
  }

  /** @return the root of a failure domain's tree. */
  daemon& Root(const std::string& domain) {
    return std::ranges::find_if(daemons,
                                [&](auto& entry) {
                                  daemon& known = entry.second;
                                  return known.member.failure_domain == domain && known.selector &&
                                         known.selector->plan().reads_store;
                                })
        ->second;
  }

  std::size_t CountBehind(std::uint64_t version) const {
    return static_cast<std::size_t>(std::ranges::count_if(daemons, [&](const auto& entry) {
      return entry.second.state == condition::kRunning && entry.second.version < version;
    }));
  }

  std::size_t CountReading() const {
    return static_cast<std::size_t>(std::ranges::count_if(daemons, [](const auto& entry) {
      return entry.second.state == condition::kRunning && entry.second.selector->reads_store();
    }));
  }

  time_point now{std::chrono::seconds(100)};
  std::uint64_t store_version = 1;
  bool store_serves = true;
  std::uint64_t store_calls = 0;
  /** Share of a daemon's relayed updates that arrive a step late. */
  double late_share = 0;
  std::map<std::string, daemon> daemons;

 private:
  void Confirm(daemon& target, std::uint64_t version, time_point confirmed_at) {
    if (version >= target.version) {
      target.version = version;
      target.confirmed_at = std::max(target.confirmed_at, confirmed_at);
    }
  }

  void ReadStore(daemon& target) {
    if (!target.selector->reads_store()) {
      target.next_poll = now;
      target.backoff.Reset();
      target.store_lost = false;
      return;
    }
    if (now >= target.next_poll) {
      ++store_calls;
      if (store_serves && target.reaches_store) {
        target.next_poll = now + kPollInterval;
        target.backoff.Reset();
        target.store_lost = false;
        Confirm(target, store_version, now);
      } else {
        target.backoff.SetMax(PaceOf(target.selector->plan(), true).max_backoff);
        target.next_poll = now + kStoreResponseTimeout + target.backoff.Next(random_);
        target.store_lost = true;
      }
    }
  }

  void ReceiveFromSource(daemon& target) {
    if (target.linked_to != target.selector->source()) {
      target.linked_to = target.selector->source();
      target.link_confirmed_at.reset();
      return;  // Connecting takes a step.
    }
    if (!target.linked_to) {
      return;
    }
    const daemon& source = daemons.at(*target.linked_to);
    if (source.state == condition::kKilled && target.reaches_peers && source.reaches_peers) {
      target.selector->OnSourceFailed(now);
      return;
    }
    const bool late = std::bernoulli_distribution(late_share)(random_);
    const bool connected = source.state == condition::kRunning && target.reaches_peers &&
                           source.reaches_peers && source.version > 0;
    const bool is_behind = target.version == 0 && connected &&
                           !target.selector->AcceptsFirstRows(now, now - source.confirmed_at);
    if (is_behind) {
      target.selector->OnSourceBehind(now);
    } else if (connected && !late) {
      Confirm(target, source.version, source.confirmed_at);
      target.link_confirmed_at = source.confirmed_at;
    }
  }

  void Step(daemon& target) {
    ReadStore(target);
    ReceiveFromSource(target);
    source_view view{
        .loaded = target.version > 0, .age = now - target.confirmed_at, .source_age = {}};
    view.store_lost = target.store_lost;
    if (target.linked_to && target.link_confirmed_at) {
      view.source_age = now - *target.link_confirmed_at;
    }
    target.selector->Update(now, view);
    target.selector->Validate();
  }

  std::mt19937_64 random_;
};

}  // namespace tarragon::routing

#endif  // TARRAGON_TESTS_ROUTING_FAKE_RELAY_FLEET_H_
