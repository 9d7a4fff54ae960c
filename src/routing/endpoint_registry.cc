#include "tarragon/routing/endpoint_registry.h"

#include <algorithm>
#include <ranges>
#include <set>
#include <utility>

#include "tarragon/base/hash.h"
#include "tarragon/base/invariant.h"

namespace tarragon::routing {

namespace {

/** Deleted rows that are remembered; the oldest versions are forgotten first. */
constexpr std::size_t kMaxDeleted = 10'000;

}  // namespace

endpoint_load& endpoint_load::operator+=(const endpoint_load& other) {
  requests += other.requests;
  tokens += other.tokens;
  unread_tokens += other.unread_tokens;
  long_streams += other.long_streams;
  return *this;
}

void endpoint_registry::Put(time_point now, std::uint64_t row_version, endpoint_entry entry) {
  const auto deleted = deleted_.find(entry.id);
  if (deleted != deleted_.end()) {
    if (deleted->second >= row_version) {
      return;
    }
    deleted_.erase(deleted);
  }
  missing_.erase(entry.id);
  endpoint_ptr& known = endpoints_[entry.id];
  if (known && known->row_version > row_version) {
    return;
  }
  const bool same_incarnation = known && known->entry.address == entry.address &&
                                known->entry.started_unix_ms == entry.started_unix_ms &&
                                known->entry.service == entry.service;
  if (known && !same_incarnation) {
    BeginLeaving(now, known);
    known->listed = false;
  }
  if (!same_incarnation) {
    known = std::make_shared<endpoint>();
    known->listed_at = now;
  }
  known->row_version = row_version;
  known->entry = std::move(entry);
  if (!same_incarnation) {
    IndexServices();
  }
  if (known->entry.leaving) {
    BeginLeaving(now, known);
  }
}

void endpoint_registry::Remove(time_point now, std::uint64_t row_version, const std::string& id) {
  const auto found = endpoints_.find(id);
  if (found != endpoints_.end() && found->second->row_version > row_version) {
    return;
  }
  std::uint64_t& version = deleted_[id];
  version = std::max(version, row_version);
  if (deleted_.size() > kMaxDeleted) {
    deleted_.erase(std::ranges::min_element(deleted_, {}, [](const auto& d) { return d.second; }));
  }
  if (found != endpoints_.end()) {
    missing_.try_emplace(id, now);
    Tick(now);
  }
}

void endpoint_registry::Keep(time_point now,
                             std::uint64_t version,
                             const std::vector<std::string>& ids) {
  const std::set<std::string_view> kept(ids.begin(), ids.end());
  std::vector<std::string> absent;
  for (const auto& [id, known] : endpoints_) {
    if (!kept.contains(id)) {
      absent.push_back(id);
    }
  }
  std::ranges::for_each(absent, [&](const std::string& id) { Remove(now, version, id); });
}

void endpoint_registry::LearnLeaving(time_point now,
                                     std::uint64_t id_hash,
                                     std::uint64_t row_version) {
  const auto found = std::ranges::find_if(
      endpoints_, [&](const auto& known) { return Hash64(known.first) == id_hash; });
  if (found != endpoints_.end() && found->second->row_version <= row_version) {
    BeginLeaving(now, found->second);
  }
}

void endpoint_registry::StoreLost(time_point) {
  store_lost_ = true;
}

void endpoint_registry::StoreRegained(time_point now) {
  if (std::exchange(store_lost_, false)) {
    regained_at_ = now;
  }
}

void endpoint_registry::Tick(time_point now) {
  const bool may_return =
      store_lost_ || (regained_at_ && now < *regained_at_ + options_.restore_grace);
  std::vector<std::string> gone;
  for (const auto& [id, since] : missing_) {
    const auto found = endpoints_.find(id);
    // An endpoint that had announced its leaving does not come back.
    if (!may_return || found == endpoints_.end() || found->second->leaving) {
      gone.push_back(id);
    }
  }
  std::ranges::for_each(gone, [&](const std::string& id) { Drop(now, id); });
}

void endpoint_registry::Drop(time_point now, const std::string& id) {
  missing_.erase(id);
  const auto found = endpoints_.find(id);
  if (found == endpoints_.end()) {
    return;
  }
  const endpoint_ptr which = found->second;
  BeginLeaving(now, which);
  which->listed = false;
  endpoints_.erase(id);
  IndexServices();
}

void endpoint_registry::BeginLeaving(time_point now, const endpoint_ptr& which) {
  if (std::exchange(which->leaving, true)) {
    return;
  }
  which->leaving_since = now;
  if (on_leaving_) {
    on_leaving_(which);
  }
}

const std::vector<endpoint_ptr>& endpoint_registry::OfService(std::string_view service) const {
  static const std::vector<endpoint_ptr> kNone;
  const auto found = by_service_.find(service);
  return found == by_service_.end() ? kNone : found->second;
}

void endpoint_registry::IndexServices() {
  by_service_.clear();
  for (const endpoint_ptr& known : endpoints_ | std::views::values) {
    by_service_[known->entry.service].push_back(known);
  }
}

endpoint_ptr endpoint_registry::Find(const std::string& id) const {
  const auto found = endpoints_.find(id);
  return found == endpoints_.end() ? nullptr : found->second;
}

void endpoint_registry::Validate() const {
  for (const auto& [id, known] : endpoints_) {
    TARRAGON_INVARIANT(known && known->entry.id == id, id);
    TARRAGON_INVARIANT(known->leaving == known->leaving_since.has_value(), id);
    TARRAGON_INVARIANT(std::ranges::find(OfService(known->entry.service), known) !=
                           OfService(known->entry.service).end(),
                       id);
  }
}

}  // namespace tarragon::routing
