#include "tarragon/routing/tunnel_peers.h"

#include <algorithm>
#include <iterator>

namespace tarragon::routing {

void tunnel_peers::SetMembers(const std::vector<relay_member>& members, const relay_member& self) {
  addresses_ = RankPeers(members, self, {}, kMaxPerKind);
  std::erase_if(states_, [this](const auto& known) {
    return std::ranges::find(addresses_, known.first) == addresses_.end();
  });
}

std::optional<std::string> tunnel_peers::Choose(time_point now, std::uint64_t entropy) const {
  std::vector<std::string> opened;
  std::optional<std::string> untried;
  for (const std::string& address : addresses_) {
    const auto found = states_.find(address);
    const peer_state state = found == states_.end() ? peer_state() : found->second;
    if (state.has_opened) {
      opened.push_back(address);
    } else if (!untried && state.usable_at <= now) {
      untried = address;
    }
  }
  if (opened.size() > kWanted) {
    opened.resize(kWanted);
  }
  const bool is_tried = opened.size() == kWanted || (!untried && !opened.empty());
  return is_tried ? opened[entropy % opened.size()] : untried;
}

void tunnel_peers::OnOpened(const std::string& address) {
  states_[address] = {.has_opened = true, .failures = 0, .usable_at = {}};
}

void tunnel_peers::OnFailed(time_point now, const std::string& address) {
  constexpr std::uint32_t kMaxDoublings = 8;
  peer_state& state = states_[address];
  const duration pause =
      std::min<duration>(kMaxPause, kMinPause * (1 << std::min(state.failures, kMaxDoublings)));
  state.has_opened = false;
  state.usable_at = now + pause;
  ++state.failures;
}

}  // namespace tarragon::routing
