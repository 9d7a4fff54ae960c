#include "decision/attempt_table.h"

#include <algorithm>
#include <ranges>
#include <utility>

#include "tarragon/base/invariant.h"

namespace tarragon::decision {

void attempt_table::AddToCounts(endpoint_counts& counts, const attempt_record& record, int sign) {
  counts.in_flight += sign;
  counts.suspects += record.holds_suspect_slot ? sign : 0;
  counts.long_requests += record.is_long ? sign : 0;
  counts.urgent += record.urgent ? sign : 0;
}

attempt_record& attempt_table::Add(attempt_record record) {
  if (record.index >= counts_.size()) {
    counts_.resize(record.index + 1);
  }
  AddToCounts(counts_[record.index], record, 1);
  const attempt_id id = record.id;
  const auto [it, inserted] = records_.emplace(id, std::move(record));
  TARRAGON_INVARIANT(inserted, "attempt id used twice");
  return it->second;
}

attempt_record* attempt_table::Find(attempt_id id) {
  const auto it = records_.find(id);
  return it == records_.end() ? nullptr : &it->second;
}

const attempt_record* attempt_table::Find(attempt_id id) const {
  const auto it = records_.find(id);
  return it == records_.end() ? nullptr : &it->second;
}

void attempt_table::Remove(attempt_id id) {
  const auto it = records_.find(id);
  TARRAGON_INVARIANT(it != records_.end(), "removed attempt is not listed");
  AddToCounts(counts_[it->second.index], it->second, -1);
  records_.erase(it);
}

std::vector<attempt_id> attempt_table::SortedIds() const {
  std::vector<attempt_id> ids;
  ids.reserve(records_.size());
  std::ranges::copy(std::views::keys(records_), std::back_inserter(ids));
  std::ranges::sort(ids);
  return ids;
}

attempt_table::endpoint_counts attempt_table::CountsAt(policy::endpoint_index endpoint) const {
  return endpoint < counts_.size() ? counts_[endpoint] : endpoint_counts{};
}

void attempt_table::Validate() const {
  std::vector<endpoint_counts> recomputed(counts_.size());
  for (const auto& [id, record] : records_) {
    TARRAGON_INVARIANT(id == record.id, "attempt listed under another id");
    AddToCounts(recomputed[record.index], record, 1);
  }
  TARRAGON_INVARIANT(recomputed == counts_, "counts per endpoint differ from the attempts");
}

}  // namespace tarragon::decision
