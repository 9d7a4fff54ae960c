#ifndef TARRAGON_DECISION_PREFIX_TABLE_H_
#define TARRAGON_DECISION_PREFIX_TABLE_H_

#include <boost/circular_buffer.hpp>
#include <cstddef>
#include <cstdint>
#include <unordered_map>
#include <unordered_set>

#include "tarragon/decision/event.h"
#include "tarragon/policy/endpoint_index.h"

namespace tarragon::decision {

/** Prefixes that each endpoint probably caches. Only a hint, because cache events arrive late. */
class prefix_table final {
 public:
  /** @param max_prefixes bound per endpoint; the oldest prefixes are dropped first. */
  explicit prefix_table(std::size_t max_prefixes) : max_prefixes_(max_prefixes) {}

  void Apply(policy::endpoint_index endpoint, const cache_changed& change);
  bool Holds(policy::endpoint_index endpoint, std::uint64_t prefix) const;
  void Remove(policy::endpoint_index endpoint) { endpoints_.erase(endpoint); }

 private:
  struct prefixes {
    std::unordered_set<std::uint64_t> held;
    boost::circular_buffer<std::uint64_t> insertion_order;
  };

  std::size_t max_prefixes_;
  std::unordered_map<policy::endpoint_index, prefixes> endpoints_;
};

}  // namespace tarragon::decision

#endif  // TARRAGON_DECISION_PREFIX_TABLE_H_
