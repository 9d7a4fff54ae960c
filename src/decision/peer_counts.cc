#include "decision/peer_counts.h"

#include "tarragon/base/hash.h"
#include "tarragon/base/invariant.h"

namespace tarragon::decision {

void peer_counts::Set(const std::string& vm, const std::vector<endpoint_count>& counts) {
  Remove(vm);
  for (const endpoint_count& count : counts) {
    sums_[count.endpoint_hash] += count.in_flight;
  }
  by_vm_[vm] = counts;
}

void peer_counts::Remove(const std::string& vm) {
  const auto known = by_vm_.find(vm);
  if (known == by_vm_.end()) {
    return;
  }
  for (const endpoint_count& count : known->second) {
    const auto sum = sums_.find(count.endpoint_hash);
    if (sum == sums_.end()) {
      continue;
    }
    sum->second -= count.in_flight;
    if (sum->second == 0) {
      sums_.erase(sum);
    }
  }
  by_vm_.erase(known);
}

std::uint32_t peer_counts::InFlight(std::uint32_t endpoint_hash) const {
  const auto sum = sums_.find(endpoint_hash);
  return sum == sums_.end() ? 0 : sum->second;
}

std::uint32_t peer_counts::GossipHash(std::string_view endpoint) {
  return static_cast<std::uint32_t>(Hash64(endpoint));
}

void peer_counts::Validate() const {
  std::uint64_t reported = 0;
  std::uint64_t summed = 0;
  for (const auto& [vm, counts] : by_vm_) {
    for (const endpoint_count& count : counts) {
      reported += count.in_flight;
    }
  }
  for (const auto& [hash, sum] : sums_) {
    summed += sum;
  }
  TARRAGON_INVARIANT(reported == summed, "sum per endpoint differs from the counts of the peers");
}

}  // namespace tarragon::decision
