#ifndef TARRAGON_GATEWAY_TABLE_LISTENER_H_
#define TARRAGON_GATEWAY_TABLE_LISTENER_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

#include "tarragon/gateway/platform_adapter.h"

namespace tarragon::gateway {

/** State of a table that the store has confirmed as its newest. */
struct table_position {
  /** The store's newest version at the time of the confirmation. */
  routing::store_version version;
  /** Time of the confirmation on the store's steady clock. */
  std::chrono::milliseconds store_time{0};
  bool operator==(const table_position&) const = default;
};

/** Calls to the store that failed one after another, until one succeeded. */
struct store_outage {
  std::uint32_t failed_calls = 0;
  /** Time from the end of the last failed call to the one that succeeded. */
  std::chrono::milliseconds last_wait{0};
  /**
   * Longest time for which the store may have been within reach again before the call that
   * succeeded: since the last failed call could have been answered. Empty if unknown.
   */
  std::optional<std::chrono::milliseconds> max_time_back = {};
};

/** Receives the contents of a table. */
class table_listener {
 public:
  virtual ~table_listener() = default;
  /** The complete table. */
  virtual void OnTable(const std::vector<table_row>& rows, const table_position& position) = 0;
  /**
   * Rows that were written or deleted since the previous call, in the order of the changes; empty
   * if the store has only confirmed that there are none.
   */
  virtual void OnChanges(const std::vector<table_row>& rows, const table_position& position) = 0;
  virtual void OnStoreLost(std::string_view reason) = 0;
  /** The table was read, but is older than what is known, and is read again. */
  virtual void OnStaleRead(const routing::store_version& /*known*/,
                           const routing::store_version& /*read*/) {}
  /** @param outage what this daemon's own calls met; empty if another daemon has the store again.
   */
  virtual void OnStoreRegained(const store_outage& outage) = 0;
};

}  // namespace tarragon::gateway

#endif  // TARRAGON_GATEWAY_TABLE_LISTENER_H_
