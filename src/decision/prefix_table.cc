#include "decision/prefix_table.h"

namespace tarragon::decision {

void prefix_table::Apply(policy::endpoint_index endpoint, const cache_changed& change) {
  prefixes& known = endpoints_[endpoint];
  if (known.order.capacity() == 0) {
    known.order.set_capacity(max_prefixes_);
  }
  if (change.gap) {
    // The missed events may have been evictions.
    known.held.clear();
    known.order.clear();
  }
  for (const std::uint64_t prefix : change.stored) {
    if (!known.held.insert(prefix).second) {
      continue;
    }
    if (known.order.full()) {
      known.held.erase(known.order.front());
    }
    known.order.push_back(prefix);
  }
  for (const std::uint64_t prefix : change.evicted) {
    known.held.erase(prefix);
  }
}

bool prefix_table::Holds(policy::endpoint_index endpoint, std::uint64_t prefix) const {
  const auto place = endpoints_.find(endpoint);
  return prefix != 0 && place != endpoints_.end() && place->second.held.contains(prefix);
}

}  // namespace tarragon::decision
