#include "decision/attempt_table.h"

#include <algorithm>
#include <ranges>
#include <utility>

#include "tarragon/base/invariant.h"

namespace tarragon::decision {

attempt_record& attempt_table::Add(attempt_record record) {
  auto& counts = counts_[record.endpoint];
  ++counts.in_flight;
  counts.suspects += record.suspect ? 1 : 0;
  const attempt_id id = record.id;
  const auto [place, added] = records_.emplace(id, std::move(record));
  TARRAGON_INVARIANT(added, "attempt id used twice");
  return place->second;
}

attempt_record* attempt_table::Find(attempt_id id) {
  const auto place = records_.find(id);
  return place == records_.end() ? nullptr : &place->second;
}

const attempt_record* attempt_table::Find(attempt_id id) const {
  const auto place = records_.find(id);
  return place == records_.end() ? nullptr : &place->second;
}

void attempt_table::Remove(attempt_id id) {
  const auto place = records_.find(id);
  TARRAGON_INVARIANT(place != records_.end(), "removed attempt is not listed");
  const auto counts = counts_.find(place->second.endpoint);
  --counts->second.in_flight;
  counts->second.suspects -= place->second.suspect ? 1 : 0;
  if (counts->second.in_flight == 0) {
    counts_.erase(counts);
  }
  records_.erase(place);
}

std::vector<attempt_id> attempt_table::SortedIds() const {
  std::vector<attempt_id> ids;
  ids.reserve(records_.size());
  std::ranges::copy(std::views::keys(records_), std::back_inserter(ids));
  std::ranges::sort(ids);
  return ids;
}

std::uint32_t attempt_table::InFlight(const endpoint_name& endpoint) const {
  const auto place = counts_.find(endpoint);
  return place == counts_.end() ? 0 : place->second.in_flight;
}

std::uint32_t attempt_table::Suspects(const endpoint_name& endpoint) const {
  const auto place = counts_.find(endpoint);
  return place == counts_.end() ? 0 : place->second.suspects;
}

void attempt_table::Validate() const {
  std::unordered_map<endpoint_name, endpoint_counts> counted;
  for (const auto& [id, record] : records_) {
    TARRAGON_INVARIANT(id == record.id, "attempt listed under another id");
    auto& counts = counted[record.endpoint];
    ++counts.in_flight;
    counts.suspects += record.suspect ? 1 : 0;
  }
  TARRAGON_INVARIANT(counted == counts_, "counts per endpoint differ from the attempts");
}

}  // namespace tarragon::decision
