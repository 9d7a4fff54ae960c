#include "tarragon/routing/relay_plan.h"

#include <fmt/format.h>
#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <ranges>
#include <string>
#include <vector>

namespace tarragon::routing {
namespace {

std::vector<relay_member> MakeFleet(std::size_t size, std::size_t domains) {
  std::vector<relay_member> fleet;
  fleet.reserve(size);
  for (std::size_t i = 0; i < size; ++i) {
    fleet.push_back(
        {fmt::format("10.0.{}.{}:7200", i / 200, i % 200), fmt::format("domain-{}", i % domains)});
  }
  return fleet;
}

// Guards against a small fleet that depends on a relay, whose takeover takes most of the 2 s in
// which changes must be in force there.
TEST(RelayPlanTest, SmallFleetsReadTheStore) {
  const std::vector<relay_member> fleet = MakeFleet(kMaxDirectReaders, 3);
  for (const relay_member& member : fleet) {
    const relay_plan plan = MakeRelayPlan(fleet, member);
    EXPECT_TRUE(plan.reads_store);
    EXPECT_FALSE(plan.is_relayed);
    EXPECT_TRUE(plan.sources.empty());
  }
}

// Guards against calls to the store, followers of a daemon or levels that grow with the fleet.
TEST(RelayPlanTest, OneReaderForEachDomainAndABoundedFanOut) {
  for (const std::size_t size : {64, 195, 390}) {
    const std::vector<relay_member> fleet = MakeFleet(size, 5);
    std::map<std::string, std::string> domain_of;
    for (const relay_member& member : fleet) {
      domain_of[member.address] = member.failure_domain;
    }
    std::map<std::string, std::size_t> readers;
    std::map<std::string, std::size_t> followers;
    for (const relay_member& member : fleet) {
      const relay_plan plan = MakeRelayPlan(fleet, member);
      EXPECT_TRUE(plan.is_relayed);
      EXPECT_EQ(plan.reads_store, plan.sources.empty());
      EXPECT_LE(plan.depth, 3U);
      if (plan.reads_store) {
        ++readers[member.failure_domain];
        continue;
      }
      ++followers[plan.sources.front()];
      // Rows cross the border of a failure domain only on their way from the store.
      EXPECT_TRUE(std::ranges::all_of(plan.sources, [&](const std::string& source) {
        return domain_of.at(source) == member.failure_domain && source != member.address;
      }));
    }
    EXPECT_EQ(readers.size(), 5U);
    for (const std::size_t count : readers | std::views::values) {
      EXPECT_EQ(count, 1U);
    }
    for (const std::size_t count : followers | std::views::values) {
      EXPECT_LE(count, kRelayFanOut);
    }
  }
}

// Guards against a failure domain in which every daemon reads the store once its reader is gone.
TEST(RelayPlanTest, OneDeputyReadsIfTheReaderIsGone) {
  const std::vector<relay_member> fleet = MakeFleet(40, 1);
  std::string root;
  for (const relay_member& member : fleet) {
    if (MakeRelayPlan(fleet, member).reads_store) {
      root = member.address;
    }
  }
  std::size_t without_other_source = 0;
  for (const relay_member& member : fleet) {
    const relay_plan plan = MakeRelayPlan(fleet, member);
    const auto others = std::ranges::count_if(
        plan.sources, [&](const std::string& source) { return source != root; });
    without_other_source += !plan.reads_store && others == 0 ? 1 : 0;
  }
  EXPECT_EQ(without_other_source, 1U);
}

}  // namespace
}  // namespace tarragon::routing
