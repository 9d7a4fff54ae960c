#ifndef TARRAGON_DECISION_PEER_COUNTS_H_
#define TARRAGON_DECISION_PEER_COUNTS_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "tarragon/decision/event.h"

namespace tarragon::decision {

/** Requests in flight per endpoint from the other entries, according to their latest gossip. */
class peer_counts final {
 public:
  void Set(const std::string& vm, const std::vector<endpoint_count>& counts);
  void Remove(const std::string& vm);

  /** @return the sum over the other entries. @param endpoint_hash see `GossipHash`. */
  std::uint32_t InFlight(std::uint32_t endpoint_hash) const;

  /** @return the hash that identifies an endpoint in gossip. */
  static std::uint32_t GossipHash(std::string_view endpoint);

  void Validate() const;

 private:
  std::unordered_map<std::string, std::vector<endpoint_count>> by_vm_;
  std::unordered_map<std::uint32_t, std::uint32_t> sums_;
};

}  // namespace tarragon::decision

#endif  // TARRAGON_DECISION_PEER_COUNTS_H_
