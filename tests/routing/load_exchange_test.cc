#include "tarragon/routing/load_exchange.h"

#include <fmt/format.h>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "tarragon/base/hash.h"
#include "tarragon/routing/endpoint_picker.h"
#include "tarragon/routing/relay_plan.h"

namespace tarragon::routing {
namespace {

constexpr std::size_t kNoLimit = 1000;

endpoint_load_report Report(std::uint64_t hash, std::uint32_t requests) {
  return {hash, {.requests = requests}, std::chrono::microseconds(0), 0};
}

endpoint_registry MakeRegistry(std::size_t engines) {
  endpoint_registry registry;
  for (std::size_t i = 0; i < engines; ++i) {
    endpoint_entry entry;
    entry.id = fmt::format("engine-{:02}", i);
    entry.service = "engines";
    entry.slots = 24;
    entry.failure_domain = fmt::format("domain-{}", i % 5);
    registry.Put(time_point{}, 1, entry);
  }
  return registry;
}

/** Daemons of a fleet that exchange loads along the relay plan; messages take no time. */
class exchanging_fleet {
 public:
  exchanging_fleet(std::size_t size, std::size_t domains) : daemons(size) {
    std::vector<relay_member> members;
    members.reserve(size);
    std::map<std::string, std::size_t> index;
    for (std::size_t i = 0; i < size; ++i) {
      members.push_back({fmt::format("10.0.0.{}:7200", i), fmt::format("domain-{}", i % domains)});
      index[members.back().address] = i;
    }
    for (std::size_t i = 0; i < size; ++i) {
      const relay_plan plan = MakeRelayPlan(members, members[i]);
      if (!plan.sources.empty()) {
        Connect(i, index.at(plan.sources.front()), neighbor_kind::kTree);
      }
      for (const std::string& root : plan.peer_roots) {
        Connect(i, index.at(root), neighbor_kind::kRoot);
      }
    }
  }

  void Connect(std::size_t a, std::size_t b, neighbor_kind kind) {
    daemons[a].AddNeighbor(b, kind);
    daemons[b].AddNeighbor(a, kind);
    links.emplace_back(a, b);
    links.emplace_back(b, a);
  }

  void Disconnect(std::size_t link) {
    const auto [a, b] = links[link];
    daemons[a].RemoveNeighbor(b);
    daemons[b].RemoveNeighbor(a);
    std::erase(links, std::pair(a, b));
    std::erase(links, std::pair(b, a));
  }

  /** Delivers all messages until no daemon has news. @return the number of messages. */
  std::size_t Settle() {
    std::size_t messages = 0;
    for (bool changed = true; changed;) {
      changed = false;
      for (const auto& [from, to] : links) {
        const auto changes = daemons[from].TakeChanges(to, kNoLimit);
        if (!changes.empty()) {
          daemons[to].Receive(from, changes);
          changed = true;
          ++messages;
        }
      }
    }
    return messages;
  }

  std::vector<load_exchange> daemons;
  std::vector<std::pair<std::size_t, std::size_t>> links;
};

// Guards against a daemon that does not know, or counts twice, the load of a part of the fleet,
// after any sequence of loads and lost connections.
RC_GTEST_PROP(LoadExchangeTest, EveryDaemonKnowsTheOthersLoad, ()) {
  constexpr std::size_t kDaemons = 60;
  exchanging_fleet fleet(kDaemons, 3);
  endpoint_registry registry = MakeRegistry(3);
  std::vector<std::vector<std::uint32_t>> loads(kDaemons, std::vector<std::uint32_t>(3));
  const int steps = *rc::gen::inRange(1, 20);
  for (int step = 0; step < steps; ++step) {
    const auto daemon = *rc::gen::inRange<std::size_t>(0, kDaemons);
    std::vector<endpoint_load_report> own;
    own.reserve(3);
    for (std::size_t engine = 0; engine < 3; ++engine) {
      loads[daemon][engine] = *rc::gen::inRange<std::uint32_t>(0, 3);
      own.push_back(Report(Hash64(fmt::format("engine-{:02}", engine)), loads[daemon][engine]));
    }
    fleet.daemons[daemon].SetOwnLoads(own);
    if (*rc::gen::inRange(0, 3) == 0) {
      // A follower loses its source and connects again.
      const auto link = *rc::gen::inRange<std::size_t>(0, fleet.links.size());
      const auto [a, b] = fleet.links[link];
      const bool is_root_link = a % 3 != b % 3;
      fleet.Disconnect(link);
      fleet.Settle();
      fleet.Connect(a, b, is_root_link ? neighbor_kind::kRoot : neighbor_kind::kTree);
    }
    if (*rc::gen::arbitrary<bool>()) {
      fleet.Settle();
    }
  }
  fleet.Settle();
  for (std::size_t daemon = 0; daemon < kDaemons; ++daemon) {
    fleet.daemons[daemon].Validate();
    fleet.daemons[daemon].Apply(time_point{}, registry);
    for (std::size_t engine = 0; engine < 3; ++engine) {
      std::uint32_t others = 0;
      for (std::size_t other = 0; other < kDaemons; ++other) {
        others += other == daemon ? 0 : loads[other][engine];
      }
      RC_ASSERT(registry.Find(fmt::format("engine-{:02}", engine))->peer_load.requests == others);
    }
  }
}

// Guards against a load that is not applied, or stays, because only changed endpoints are visited:
// after any sequence of messages, lost neighbors and changes of the list.
RC_GTEST_PROP(LoadExchangeTest, ApplyingChangesGivesTheSameAsApplyingAll, ()) {
  constexpr std::size_t kEngines = 4;
  load_exchange stepwise;
  endpoint_registry registry = MakeRegistry(kEngines);
  std::map<std::uint64_t, std::map<std::uint64_t, std::uint32_t>> told;
  const int steps = *rc::gen::inRange(1, 40);
  for (int step = 1; step <= steps; ++step) {
    const auto neighbor = *rc::gen::inRange<std::uint64_t>(0, 3);
    const auto engine = *rc::gen::inRange<std::size_t>(0, kEngines);
    const std::string id = fmt::format("engine-{:02}", engine);
    switch (*rc::gen::inRange(0, 4)) {
      case 0:
        stepwise.RemoveNeighbor(neighbor);
        told.erase(neighbor);
        break;
      case 1: {
        endpoint_entry entry = registry.Find(id)->entry;
        entry.started_unix_ms = step;
        registry.Put(time_point{}, static_cast<std::uint64_t>(step) + 1, entry);
        break;
      }
      default: {
        const auto requests = *rc::gen::inRange<std::uint32_t>(0, 3);
        stepwise.AddNeighbor(neighbor, neighbor_kind::kTree);
        stepwise.Receive(neighbor, {Report(Hash64(id), requests)});
        told[neighbor][Hash64(id)] = requests;
      }
    }
    if (*rc::gen::arbitrary<bool>()) {
      stepwise.Apply(time_point{}, registry);
    }
  }
  stepwise.Apply(time_point{}, registry);
  registry.Validate();
  for (const auto& [id, known] : registry.all()) {
    std::uint32_t expected = 0;
    for (const auto& [neighbor, loads] : told) {
      const auto found = loads.find(Hash64(id));
      expected += found == loads.end() ? 0 : found->second;
    }
    RC_ASSERT(known->peer_load.requests == expected);
  }
}

// Guards against an endpoint's limit, or sends to it, that a part of a large fleet does not know
// of.
TEST(LoadExchangeTest, TellsLimitsAndSends) {
  constexpr std::size_t kDaemons = 195;
  exchanging_fleet fleet(kDaemons, 5);
  endpoint_registry registry = MakeRegistry(1);
  const std::uint64_t hash = Hash64("engine-00");
  for (std::size_t daemon = 0; daemon < kDaemons; ++daemon) {
    endpoint_load_report own = Report(hash, 0);
    own.recent_sends = daemon % 2;
    own.limit = {daemon == 7 ? 2U : 0U, 40.0};
    fleet.daemons[daemon].SetOwnLoads({own});
  }
  fleet.Settle();
  fleet.daemons[100].Apply(time_point{}, registry);
  rate_limit& limit = registry.Find("engine-00")->limit;
  EXPECT_EQ(limit.statement(), (limit_statement{2, 40.0}));
  EXPECT_TRUE(limit.HasRoom(time_point{}));
  constexpr std::size_t kWindowLimit = 160;
  constexpr std::size_t kRoom = kWindowLimit - kDaemons / 2;
  for (std::size_t i = 0; i < kRoom; ++i) {
    limit.RecordSend(time_point{});
  }
  EXPECT_FALSE(limit.HasRoom(time_point{}));
}

// Guards against a load that costs a daemon more messages in a larger fleet.
TEST(LoadExchangeTest, AChangeIsToldOnceOnEachLink) {
  for (const std::size_t size : {64, 195}) {
    exchanging_fleet fleet(size, 5);
    fleet.Settle();
    fleet.daemons[7].SetOwnLoads({Report(1, 1)});
    EXPECT_LE(fleet.Settle(), fleet.links.size() / 2 + 10);
  }
}

// Plays requests that arrive at random daemons of a large fleet and checks how evenly they are
// placed. Guards against many daemons that choose the same engine, because they do not know of one
// another's requests or because all of them prefer the first of several equal engines.
TEST(LoadExchangeTest, LargeFleetsDoNotHerd) {
  constexpr std::size_t kEngines = 59;
  constexpr std::size_t kRequests = 2 * kEngines;
  // A request reaches an engine while the others know of all but the last few requests.
  constexpr std::size_t kRequestsPerExchange = 3;
  exchanging_fleet fleet(195, 5);
  const endpoint_picker picker;
  const engine_limits limits{24, 34'000, true, true};
  std::mt19937_64 random(1);
  std::vector<endpoint_registry> registries;
  registries.reserve(fleet.daemons.size());
  for (std::size_t i = 0; i < fleet.daemons.size(); ++i) {
    registries.push_back(MakeRegistry(kEngines));
  }
  std::map<std::string, std::size_t> placed;
  for (std::size_t request = 0; request < kRequests; ++request) {
    const std::size_t daemon = random() % fleet.daemons.size();
    endpoint_registry& registry = registries[daemon];
    fleet.daemons[daemon].Apply(time_point{}, registry);
    pick_request wanted;
    wanted.service = "engines";
    wanted.size = {2200, 16, 16};
    wanted.engine = &limits;
    wanted.own_failure_domain = fmt::format("domain-{}", daemon % 5);
    wanted.entropy = random();
    const endpoint_ptr chosen = picker.Pick(time_point{}, registry, wanted).chosen;
    ++placed[chosen->entry.id];
    chosen->own_load += {.requests = 1, .tokens = 2216, .unread_tokens = 2200};
    std::vector<endpoint_load_report> own;
    own.reserve(kEngines);
    for (const auto& [id, known] : registry.all()) {
      own.push_back({Hash64(id), known->own_load, std::chrono::microseconds(0), 0});
    }
    fleet.daemons[daemon].SetOwnLoads(own);
    if (request % kRequestsPerExchange == 0) {
      fleet.Settle();
    }
  }
  const std::size_t busiest =
      std::ranges::max_element(placed, {}, [](const auto& entry) { return entry.second; })->second;
  EXPECT_EQ(placed.size(), kEngines);
  // Two requests for each engine; without knowledge of one another the busiest engine gets 7.
  EXPECT_LE(busiest, 4U);
}

}  // namespace
}  // namespace tarragon::routing
