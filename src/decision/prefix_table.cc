#include "decision/prefix_table.h"

namespace tarragon::decision {

void prefix_table::Apply(policy::endpoint_index endpoint, const cache_changed& change) {
  prefixes& known = endpoints_[endpoint];
  if (known.insertion_order.capacity() == 0) {
    known.insertion_order.set_capacity(max_prefixes_);
  }
  if (change.gap) {
    // The missed events may have been evictions.
    known.held.clear();
    known.insertion_order.clear();
  }
  for (const std::uint64_t prefix : change.stored) {
    if (!known.held.insert(prefix).second) {
      continue;
    }
    if (known.insertion_order.full()) {
      known.held.erase(known.insertion_order.front());
    }
    known.insertion_order.push_back(prefix);
  }
  for (const std::uint64_t prefix : change.evicted) {
    known.held.erase(prefix);
  }
}

bool prefix_table::Holds(policy::endpoint_index endpoint, std::uint64_t prefix) const {
  const auto it = endpoints_.find(endpoint);
  return prefix != 0 && it != endpoints_.end() && it->second.held.contains(prefix);
}

}  // namespace tarragon::decision
