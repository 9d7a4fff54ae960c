#include "tarragon/routing/tunnel_peers.h"

#include <fmt/format.h>
#include <gtest/gtest.h>

#include <algorithm>
#include <chrono>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace tarragon::routing {
namespace {

constexpr time_point kStart{std::chrono::seconds(100)};
constexpr std::size_t kDomains = 3;

std::vector<relay_member> MakeMembers(std::size_t count) {
  std::vector<relay_member> members;
  for (std::size_t i = 0; i < count; ++i) {
    members.push_back(
        {fmt::format("10.0.{}.{}:7200", i / 100, i % 100), fmt::format("domain-{}", i % kDomains)});
  }
  return members;
}

// Guards against a daemon that finds no peer although another failure domain has its paths, and
// against all daemons of a domain that choose the same peers.
TEST(TunnelPeersTest, ADomainWithoutPathsSpreadsOverTheOthers) {
  const std::vector<relay_member> members = MakeMembers(79);
  std::map<std::string, std::size_t> load;
  std::size_t cut_off = 0;
  for (const relay_member& self : members) {
    if (self.failure_domain != "domain-0") {
      continue;
    }
    ++cut_off;
    tunnel_peers peers;
    peers.SetMembers(members, self);
    std::set<std::string> used;
    for (std::uint64_t request = 0; request < 100; ++request) {
      const auto peer = peers.Choose(kStart, request);
      ASSERT_TRUE(peer);
      const auto chosen = std::ranges::find(members, *peer, &relay_member::address);
      if (chosen->failure_domain == "domain-0") {
        peers.OnFailed(kStart, *peer);
      } else {
        peers.OnOpened(*peer);
        used.insert(*peer);
      }
    }
    EXPECT_EQ(used.size(), 2U);
    std::ranges::for_each(used, [&](const std::string& address) { ++load[address]; });
  }
  const auto most =
      std::ranges::max_element(load, {}, [](const auto& entry) { return entry.second; });
  EXPECT_LE(most->second, cut_off / 3);
}

// Guards against a daemon that gives its peers up for good after all of them have failed.
TEST(TunnelPeersTest, PeersThatFailedAreTriedAgain) {
  const std::vector<relay_member> members = MakeMembers(3);
  tunnel_peers peers;
  peers.SetMembers(members, members.front());
  for (std::size_t i = 0; i < 2; ++i) {
    const auto peer = peers.Choose(kStart, i);
    ASSERT_TRUE(peer);
    peers.OnFailed(kStart, *peer);
  }
  EXPECT_FALSE(peers.Choose(kStart, 0));
  EXPECT_TRUE(peers.Choose(kStart + std::chrono::seconds(1), 0));
}

}  // namespace
}  // namespace tarragon::routing
