#include "tarragon/routing/relay_plan.h"

#include <algorithm>
#include <cstdint>
#include <map>
#include <ranges>
#include <utility>

#include "tarragon/base/hash.h"

namespace tarragon::routing {

namespace {

struct ranked_member {
  std::uint64_t hash = 0;
  std::string address;
  auto operator<=>(const ranked_member&) const = default;
};

/** @return the daemons of `self`'s failure domain, in tree order. */
std::vector<ranked_member> RankDomain(const std::vector<relay_member>& members,
                                      const relay_member& self) {
  std::vector<ranked_member> ranked = {{Hash64(self.address), self.address}};
  for (const relay_member& member : members) {
    if (member.failure_domain == self.failure_domain && member.address != self.address) {
      ranked.push_back({Hash64(member.address), member.address});
    }
  }
  std::ranges::sort(ranked);
  return ranked;
}

/**
 * @return the roots of the other failure domains that `self` connects to; of two roots, the one
 * with the lower address opens the connection.
 */
std::vector<std::string> FindPeerRoots(const std::vector<relay_member>& members,
                                       const relay_member& self) {
  std::map<std::string, ranked_member> roots;
  for (const relay_member& member : members) {
    if (member.failure_domain != self.failure_domain && !member.failure_domain.empty()) {
      const ranked_member candidate{Hash64(member.address), member.address};
      ranked_member& root = roots.try_emplace(member.failure_domain, candidate).first->second;
      root = std::min(root, candidate);
    }
  }
  std::vector<std::string> addresses;
  for (const ranked_member& root : roots | std::views::values) {
    if (self.address < root.address) {
      addresses.push_back(root.address);
    }
  }
  return addresses;
}

}  // namespace

std::vector<std::string> RankPeers(const std::vector<relay_member>& members,
                                   const relay_member& self,
                                   const std::vector<std::string>& excluded,
                                   std::size_t max_per_kind) {
  const std::uint64_t seed = Hash64(self.address);
  std::vector<ranked_member> own;
  std::vector<ranked_member> others;
  for (const relay_member& member : members) {
    if (member.address != self.address &&
        std::ranges::find(excluded, member.address) == excluded.end()) {
      auto& kind = member.failure_domain == self.failure_domain ? own : others;
      kind.push_back({Hash64(member.address, seed), member.address});
    }
  }
  std::vector<std::string> ranked;
  std::ranges::sort(own);
  std::ranges::sort(others);
  for (std::size_t i = 0; i < max_per_kind; ++i) {
    for (const std::vector<ranked_member>* kind : {&others, &own}) {
      if (i < kind->size()) {
        ranked.push_back((*kind)[i].address);
      }
    }
  }
  return ranked;
}

relay_plan MakeRelayPlan(const std::vector<relay_member>& members, const relay_member& self) {
  if (members.size() <= kMaxDirectReaders) {
    return {.reads_store = true,
            .is_relayed = false,
            .sources = {},
            .alternates = RankPeers(members, self, {}, kAlternatesPerKind),
            .peer_roots = {},
            .depth = 0};
  }
  const std::vector<ranked_member> ranked = RankDomain(members, self);
  const auto own =
      std::ranges::lower_bound(ranked, ranked_member{Hash64(self.address), self.address});
  const auto rank = static_cast<std::size_t>(own - ranked.begin());
  relay_plan plan;
  plan.reads_store = rank == 0;
  plan.is_relayed = true;
  if (plan.reads_store) {
    plan.peer_roots = FindPeerRoots(members, self);
  }
  constexpr std::size_t kDeputy = 1;
  bool has_deputy = rank <= kDeputy;
  for (std::size_t position = rank; position > 0; ++plan.depth) {
    position = (position - 1) / kRelayFanOut;
    plan.sources.push_back(ranked[position].address);
    has_deputy = has_deputy || position == kDeputy;
  }
  if (!has_deputy) {
    plan.sources.push_back(ranked[kDeputy].address);
  }
  plan.alternates = RankPeers(members, self, plan.sources, kAlternatesPerKind);
  return plan;
}

}  // namespace tarragon::routing
