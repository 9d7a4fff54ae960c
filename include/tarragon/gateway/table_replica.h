#ifndef TARRAGON_GATEWAY_TABLE_REPLICA_H_
#define TARRAGON_GATEWAY_TABLE_REPLICA_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "tarragon/base/clock.h"
#include "tarragon/gateway/table_listener.h"
#include "tarragon/routing/store_clock.h"

namespace tarragon::gateway {

/** Changes of a table between two versions, or the complete table. */
struct table_update {
  /** Version to which the rows apply; empty if the update holds the complete table. */
  routing::store_version base_version;
  table_position position;
  std::vector<table_row> rows;
};

/**
 * A daemon's copy of a table of the store. Takes rows from the store or from another daemon, moves
 * only forward, passes changes on to a listener, and yields the changes since an earlier version.
 */
class table_replica final : public table_listener {
 public:
  /** @param on_change called after the position or the store's availability has changed. */
  table_replica(table_listener& listener,
                const clock& time,
                routing::store_clock& store_time,
                std::function<void()> on_change)
      : listener_(listener),
        time_(time),
        store_time_(store_time),
        on_change_(std::move(on_change)) {}

  // table_listener, for rows from the store:
  void OnTable(const std::vector<table_row>& rows, const table_position& position) override;
  void OnChanges(const std::vector<table_row>& rows, const table_position& position) override;
  void OnStoreLost(std::string_view reason) override;
  void OnStaleRead(const routing::store_version& known,
                   const routing::store_version& read) override;
  void OnStoreRegained(const store_outage& outage) override;

  /**
   * Applies an update of another daemon.
   * @return false if the update starts at a version that this replica has not reached.
   */
  bool Apply(const table_update& update);

  /** @return the changes since `version`, or the complete table if these are not known. */
  table_update ChangesSince(const routing::store_version& version) const;

  bool is_loaded() const { return loaded_; }
  bool is_store_lost() const { return store_lost_; }
  const table_position& position() const { return position_; }
  /** @return time since the store confirmed the position; empty before the first one. */
  std::optional<duration> Age() const;
  std::size_t row_count() const { return rows_.size(); }

  void Validate() const;

 private:
  /** Deleted rows that are remembered; the oldest are dropped first. */
  static constexpr std::size_t kMaxTombstones = 4096;

  bool Advance(const table_position& position);
  /** @return the rows that are newer than the known ones. */
  std::vector<table_row> ApplyRows(const std::vector<table_row>& rows);
  void DropTombstones();

  table_listener& listener_;
  const clock& time_;
  routing::store_clock& store_time_;
  std::function<void()> on_change_;
  /** Includes deleted rows. */
  std::map<std::string, table_row> rows_;
  std::size_t tombstones_ = 0;
  /** Newest version of a dropped tombstone: changes since older versions are incomplete. */
  routing::store_version complete_since_;
  table_position position_;
  bool loaded_ = false;
  bool store_lost_ = false;
};

}  // namespace tarragon::gateway

#endif  // TARRAGON_GATEWAY_TABLE_REPLICA_H_
