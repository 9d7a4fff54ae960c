#include "tarragon/routing/endpoint_registry.h"

#include <algorithm>
#include <iterator>
#include <ranges>
#include <set>
#include <utility>

#include "tarragon/base/hash.h"
#include "tarragon/base/invariant.h"

namespace tarragon::routing {

namespace {

/** Maximum number of tombstones; those with the lowest versions are dropped first. */
constexpr std::size_t kMaxTombstones = 10'000;

}  // namespace

std::string_view ToString(leaving_source source) {
  switch (source) {
    case leaving_source::kRow:
      return "row";
    case leaving_source::kRemoved:
      return "removed";
    case leaving_source::kDaemon:
      return "daemon";
    case leaving_source::kResponse:
      return "response";
  }
  return "unknown";
}

endpoint_load& endpoint_load::operator+=(const endpoint_load& other) {
  requests += other.requests;
  tokens += other.tokens;
  unread_tokens += other.unread_tokens;
  long_streams += other.long_streams;
  return *this;
}

void endpoint_registry::Put(time_point now,
                            const store_version& row_version,
                            endpoint_entry entry) {
  const auto tombstone = tombstones_.find(entry.id);
  if (tombstone != tombstones_.end()) {
    if (tombstone->second >= row_version) {
      return;
    }
    tombstones_.erase(tombstone);
  }
  missing_since_.erase(entry.id);
  endpoint_ptr& known = endpoints_[entry.id];
  if (known && (known->row_version > row_version || IsKept(*known, row_version, entry))) {
    return;
  }
  const bool same_incarnation = known && known->entry.address == entry.address &&
                                known->entry.started_unix_ms == entry.started_unix_ms &&
                                known->entry.software_version == entry.software_version &&
                                known->entry.service == entry.service;
  if (known && !same_incarnation) {
    BeginLeaving(now, known, leaving_source::kRow);
    known->listed = false;
    RemoveFromIndices(known);
  }
  if (!same_incarnation) {
    known = std::make_shared<endpoint>();
    known->listed_at = now;
    known->id_hash = Hash64(entry.id);
  }
  const bool is_newer = row_version > known->row_version;
  known->row_version = row_version;
  known->entry = std::move(entry);
  known->evacuated = evacuations_.IsEvacuated(known->entry.failure_domain);
  if (!same_incarnation) {
    AddToIndices(known);
  }
  if (is_newer) {
    SetColdUntil(now, *known);
    UpdateColdRate(now, known);
  }
  if (known->entry.leaving) {
    BeginLeaving(now, known, leaving_source::kRow);
  }
}

bool endpoint_registry::IsKept(const endpoint& known,
                               const store_version& row_version,
                               const endpoint_entry& entry) {
  return known.row_version.era < row_version.era &&
         known.row_version.number == row_version.number && known.entry == entry;
}

void endpoint_registry::Remove(time_point now,
                               const store_version& row_version,
                               const std::string& id) {
  const auto found = endpoints_.find(id);
  if (found != endpoints_.end() && found->second->row_version > row_version) {
    return;
  }
  store_version& version = tombstones_[id];
  version = std::max(version, row_version);
  if (tombstones_.size() > kMaxTombstones) {
    tombstones_.erase(std::ranges::min_element(
        tombstones_, {}, [](const auto& tombstone) { return tombstone.second; }));
  }
  if (found != endpoints_.end()) {
    missing_since_.try_emplace(id, now);
    RemoveMissing(now);
  }
}

void endpoint_registry::RemoveUnlisted(time_point now,
                                       const store_version& version,
                                       const std::vector<std::string>& ids) {
  const std::set<std::string_view> listed_ids(ids.begin(), ids.end());
  std::vector<std::string> absent_ids;
  for (const auto& [id, known] : endpoints_) {
    if (!listed_ids.contains(id)) {
      absent_ids.push_back(id);
    }
  }
  std::ranges::for_each(absent_ids, [&](const std::string& id) { Remove(now, version, id); });
}

void endpoint_registry::MarkLeaving(time_point now,
                                    std::uint64_t id_hash,
                                    const store_version& row_version) {
  const endpoint_ptr found = FindByHash(id_hash);
  if (!found || found->leaving || found->row_version > row_version) {
    return;
  }
  const std::string& service = found->entry.service;
  if (FindByService(service).size() == 1 || CountExcludableByHearsay(service) > 0) {
    found->leaving_by_hearsay = true;
    BeginLeaving(now, found, leaving_source::kDaemon);
  }
}

void endpoint_registry::MarkLeavingByResponse(time_point now, const endpoint_ptr& target) {
  if (Find(target->entry.id) == target) {
    BeginLeaving(now, target, leaving_source::kResponse);
  }
}

void endpoint_registry::MarkSuccessorsLeaving(time_point now, const endpoint& target) {
  std::vector<endpoint_ptr> successors;
  std::ranges::copy_if(endpoints_ | std::views::values, std::back_inserter(successors),
                       [&](const endpoint_ptr& known) {
                         return known->entry.address == target.entry.address &&
                                known->entry.id != target.entry.id;
                       });
  std::ranges::for_each(successors, [&](const endpoint_ptr& known) {
    BeginLeaving(now, known, leaving_source::kResponse);
  });
}

bool endpoint_registry::BeginEvacuation(const store_version& row_version,
                                        const std::string& failure_domain) {
  const bool has_begun = evacuations_.Begin(failure_domain, row_version);
  if (has_begun) {
    std::ranges::for_each(FindByFailureDomain(failure_domain),
                          [](const endpoint_ptr& known) { known->evacuated = true; });
  }
  return has_begun;
}

bool endpoint_registry::EndEvacuation(time_point now,
                                      const store_version& row_version,
                                      const std::string& failure_domain) {
  const bool has_ended = evacuations_.End(failure_domain, row_version);
  if (has_ended) {
    Return(now, row_version, failure_domain);
  }
  return has_ended;
}

std::vector<std::string> endpoint_registry::EndUnlistedEvacuations(
    time_point now,
    const store_version& version,
    const std::vector<std::string>& listed) {
  std::vector<std::string> ended = evacuations_.EndUnlisted(version, listed);
  std::ranges::for_each(
      ended, [&](const std::string& failure_domain) { Return(now, version, failure_domain); });
  return ended;
}

void endpoint_registry::Return(time_point now,
                               const store_version& row_version,
                               const std::string& failure_domain) {
  for (const endpoint_ptr& known : FindByFailureDomain(failure_domain)) {
    known->evacuated = false;
    const auto start = cold_starts_.find(known->entry.service);
    if (start != cold_starts_.end() && known->row_version <= row_version) {
      known->cold_until = std::max<time_point>(known->cold_until, now + start->second.time);
      known->cold_since_version = row_version;
      UpdateColdRate(now, known);
    }
  }
}

std::vector<endpoint_ptr> endpoint_registry::FindByFailureDomain(
    const std::string& failure_domain) const {
  std::vector<endpoint_ptr> found;
  std::ranges::copy_if(
      endpoints_ | std::views::values, std::back_inserter(found),
      [&](const endpoint_ptr& known) { return known->entry.failure_domain == failure_domain; });
  return found;
}

void endpoint_registry::SetColdStarts(time_point now,
                                      std::map<std::string, cold_start, std::less<>> cold_starts) {
  if (cold_starts_ != cold_starts) {
    cold_starts_ = std::move(cold_starts);
    EndColdStarts(now);
  }
}

void endpoint_registry::EndColdStarts(time_point now) {
  for (const endpoint_ptr& known : endpoints_ | std::views::values) {
    UpdateColdRate(now, known);
  }
}

void endpoint_registry::SetColdUntil(time_point now, endpoint& known) {
  const time_point stated = now + known.entry.warm_up;
  const bool is_certain = known.row_version > known.cold_since_version;
  known.cold_until = is_certain ? stated : std::max(stated, known.cold_until);
}

void endpoint_registry::UpdateColdRate(time_point now, const endpoint_ptr& known) {
  const auto start = cold_starts_.find(known->entry.service);
  const bool is_cold = start != cold_starts_.end() && now < known->cold_until;
  const bool was_cold = known->limit.is_cold();
  if (!is_cold && !was_cold) {
    return;
  }
  known->limit.SetColdRate(is_cold ? std::optional(start->second.per_second) : std::nullopt);
  if (is_cold != was_cold && on_cold_) {
    on_cold_(known);
  }
}

void endpoint_registry::OnStoreUnavailable(time_point) {
  store_unavailable_ = true;
}

void endpoint_registry::OnStoreRecovered(time_point now, std::optional<duration> max_time_back) {
  if (!std::exchange(store_unavailable_, false)) {
    return;
  }
  // Whether the store was away or only out of this daemon's reach is not known: an endpoint may
  // have left meanwhile for good.
  const duration kept =
      options_.max_missing_time - max_time_back.value_or(options_.usual_time_back);
  restorable_until_ =
      now + std::clamp(kept, options_.min_restore_grace_period, options_.restore_grace_period);
}

std::optional<time_point> endpoint_registry::NextRemoval() const {
  return missing_since_.empty() || store_unavailable_ ? std::nullopt
                                                      : std::optional(restorable_until_);
}

void endpoint_registry::RemoveMissing(time_point now) {
  const bool may_be_restored = store_unavailable_ || now < restorable_until_;
  std::vector<std::string> removed_ids;
  for (const auto& [id, since] : missing_since_) {
    const auto found = endpoints_.find(id);
    // An endpoint that had announced that it leaves is not expected back.
    if (!may_be_restored || found == endpoints_.end() || found->second->leaving) {
      removed_ids.push_back(id);
    }
  }
  std::ranges::for_each(removed_ids, [&](const std::string& id) { Drop(now, id); });
}

void endpoint_registry::Drop(time_point now, const std::string& id) {
  missing_since_.erase(id);
  const auto found = endpoints_.find(id);
  if (found == endpoints_.end()) {
    return;
  }
  const endpoint_ptr target = found->second;
  BeginLeaving(now, target, leaving_source::kRemoved);
  target->listed = false;
  endpoints_.erase(id);
  RemoveFromIndices(target);
}

void endpoint_registry::BeginLeaving(time_point now,
                                     const endpoint_ptr& target,
                                     leaving_source source) {
  target->leaving_by_hearsay = target->leaving_by_hearsay && source == leaving_source::kDaemon;
  if (std::exchange(target->leaving, true)) {
    return;
  }
  target->leaving_since = now;
  if (on_leaving_) {
    on_leaving_(target, source);
  }
}

const std::vector<endpoint_ptr>& endpoint_registry::FindByService(std::string_view service) const {
  static const std::vector<endpoint_ptr> kNone;
  const auto found = by_service_.find(service);
  return found == by_service_.end() ? kNone : found->second;
}

std::size_t endpoint_registry::CountExcludableByHearsay(std::string_view service) const {
  const std::vector<endpoint_ptr>& listed = FindByService(service);
  const auto excluded =
      static_cast<std::size_t>(std::ranges::count_if(listed, &endpoint::leaving_by_hearsay));
  return listed.size() / 2 - std::min(listed.size() / 2, excluded);
}

void endpoint_registry::AddToIndices(const endpoint_ptr& known) {
  ++list_revision_;
  by_hash_[known->id_hash] = known;
  std::vector<endpoint_ptr>& group = by_service_[known->entry.service];
  group.insert(FindPosition(group, known), known);
}

void endpoint_registry::RemoveFromIndices(const endpoint_ptr& known) {
  ++list_revision_;
  by_hash_.erase(known->id_hash);
  std::vector<endpoint_ptr>& group = by_service_[known->entry.service];
  group.erase(FindPosition(group, known));
}

std::vector<endpoint_ptr>::iterator endpoint_registry::FindPosition(
    std::vector<endpoint_ptr>& group,
    const endpoint_ptr& known) {
  return std::ranges::lower_bound(group, known->entry.id, {}, [](const endpoint_ptr& listed) {
    return std::string_view(listed->entry.id);
  });
}

endpoint_ptr endpoint_registry::Find(const std::string& id) const {
  const auto found = endpoints_.find(id);
  return found == endpoints_.end() ? nullptr : found->second;
}

endpoint_ptr endpoint_registry::FindByHash(std::uint64_t id_hash) const {
  const auto found = by_hash_.find(id_hash);
  return found == by_hash_.end() ? nullptr : found->second;
}

void endpoint_registry::Validate() const {
  ValidateIndices();
  for (const auto& [id, known] : endpoints_) {
    ValidateState(id, known);
  }
}

void endpoint_registry::ValidateChanges() {
  for (const auto& [id, known] : endpoints_) {
    ValidateState(id, known);
  }
  if (validated_revision_ != list_revision_) {
    ValidateIndices();
    validated_revision_ = list_revision_;
  }
}

void endpoint_registry::ValidateState(const std::string& id, const endpoint_ptr& known) {
  TARRAGON_INVARIANT(known && known->entry.id == id, id);
  TARRAGON_INVARIANT(known->leaving == known->leaving_since.has_value(), id);
}

void endpoint_registry::ValidateIndices() const {
  TARRAGON_INVARIANT(by_hash_.size() == endpoints_.size(), "the index of hashes is incomplete");
  // The list and the endpoints of each service are ordered by id, so that one walk compares them.
  std::map<std::string_view, std::size_t> positions;
  for (const auto& [id, known] : endpoints_) {
    TARRAGON_INVARIANT(known && FindByHash(known->id_hash) == known, id);
    const std::vector<endpoint_ptr>& group = FindByService(known->entry.service);
    std::size_t& position = positions[known->entry.service];
    TARRAGON_INVARIANT(position < group.size() && group[position] == known, id);
    ++position;
  }
  for (const auto& [service, group] : by_service_) {
    TARRAGON_INVARIANT(positions[service] == group.size(), service);
  }
}

}  // namespace tarragon::routing
