#include "tarragon/gateway/table_replica.h"

#include <algorithm>
#include <iterator>
#include <ranges>
#include <set>
#include <utility>

#include "tarragon/base/invariant.h"

namespace tarragon::gateway {

bool table_replica::Advance(const table_position& position) {
  if (loaded_ && position.version < position_.version) {
    return false;
  }
  const bool is_new_era = loaded_ && position.version.era > position_.version.era;
  if (is_new_era) {
    // The copy may lack rows that are about to be written again, as after any outage.
    OnStoreLost("the store has returned from a copy");
  }
  store_time_.Record(time_.Now(), position.version.era, position.store_time);
  position_.store_time =
      is_new_era ? position.store_time : std::max(position_.store_time, position.store_time);
  position_.version = position.version;
  constexpr duration kRecent = std::chrono::seconds(1);
  if (store_time_.Age(time_.Now(), position.version.era, position.store_time) < kRecent) {
    OnStoreRegained({});
  }
  return true;
}

std::vector<table_row> table_replica::ApplyRows(const std::vector<table_row>& rows) {
  std::vector<table_row> changed;
  for (const table_row& row : rows) {
    const auto [known, added] = rows_.try_emplace(row.key, row);
    if (!added) {
      if (known->second.version >= row.version) {
        continue;
      }
      tombstones_ -= known->second.deleted ? 1 : 0;
      known->second = row;
    }
    tombstones_ += row.deleted ? 1 : 0;
    changed.push_back(row);
  }
  return changed;
}

void table_replica::DropTombstones() {
  while (tombstones_ > kMaxTombstones) {
    const auto oldest = std::ranges::min_element(rows_, {}, [](const auto& entry) {
      const table_row& row = entry.second;
      return std::pair(!row.deleted, row.version);
    });
    complete_since_ = std::max(complete_since_, oldest->second.version);
    rows_.erase(oldest);
    --tombstones_;
  }
}

void table_replica::OnTable(const std::vector<table_row>& rows, const table_position& position) {
  if (!Advance(position)) {
    return;
  }
  std::set<std::string_view> present;
  std::ranges::transform(rows, std::inserter(present, present.end()), &table_row::key);
  std::vector<table_row> absent;
  for (const table_row& known : rows_ | std::views::values) {
    if (!known.deleted && !present.contains(known.key)) {
      absent.push_back({known.key, {}, position.version, true});
    }
  }
  ApplyRows(absent);
  ApplyRows(rows);
  DropTombstones();
  loaded_ = true;
  // Other daemons need not wait until this one has read the rows.
  on_change_();
  listener_.OnTable(rows, position);
}

void table_replica::OnChanges(const std::vector<table_row>& rows, const table_position& position) {
  if (!Advance(position)) {
    return;
  }
  const std::vector<table_row> changed = ApplyRows(rows);
  DropTombstones();
  on_change_();
  if (!changed.empty()) {
    listener_.OnChanges(changed, position);
  }
}

void table_replica::OnStoreLost(std::string_view reason) {
  if (!std::exchange(store_lost_, true)) {
    listener_.OnStoreLost(reason);
    on_change_();
  }
}

void table_replica::OnStaleRead(const routing::store_version& known,
                                const routing::store_version& read) {
  listener_.OnStaleRead(known, read);
}

void table_replica::OnStoreRegained(const store_outage& outage) {
  if (std::exchange(store_lost_, false)) {
    listener_.OnStoreRegained(outage);
  }
}

bool table_replica::Apply(const table_update& update) {
  if (update.base_version == routing::store_version()) {
    OnTable(update.rows, update.position);
    return true;
  }
  if (!loaded_ || update.base_version > position_.version) {
    return false;
  }
  OnChanges(update.rows, update.position);
  return true;
}

table_update table_replica::ChangesSince(const routing::store_version& version) const {
  table_update update{.base_version = version, .position = position_, .rows = {}};
  // Rows that the follower knows of an earlier era may be lost without this replica knowing them.
  const bool complete = version.era < position_.version.era || version < complete_since_ ||
                        version == routing::store_version();
  if (complete) {
    update.base_version = {};
  }
  for (const table_row& row : rows_ | std::views::values) {
    if (complete ? !row.deleted : row.version > version) {
      update.rows.push_back(row);
    }
  }
  // Consumers expect changes in the order in which they were made.
  std::ranges::sort(update.rows, {}, &table_row::version);
  return update;
}

std::optional<duration> table_replica::Age() const {
  if (!loaded_) {
    return std::nullopt;
  }
  return store_time_.Age(time_.Now(), position_.version.era, position_.store_time);
}

void table_replica::Validate() const {
  TARRAGON_INVARIANT(loaded_ || rows_.empty(), "a table that was never read has rows");
  TARRAGON_INVARIANT(tombstones_ <= rows_.size(), "more tombstones than rows");
}

}  // namespace tarragon::gateway
