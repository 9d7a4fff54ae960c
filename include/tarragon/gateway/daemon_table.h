#ifndef TARRAGON_GATEWAY_DAEMON_TABLE_H_
#define TARRAGON_GATEWAY_DAEMON_TABLE_H_

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <chrono>
#include <cstddef>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "tarragon/gateway/dependency_log.h"
#include "tarragon/gateway/gateway_state.h"
#include "tarragon/gateway/store_channel.h"
#include "tarragon/gateway/table_listener.h"
#include "tarragon/routing/relay_plan.h"

namespace tarragon::gateway {

/**
 * What the gateway daemons tell each other in the store: the software versions of endpoints at
 * which streams may have begun (`version_announcements`), and peer discovery: each daemon writes a
 * row with its peer address to the store, and again if the store has lost the row by returning from
 * a copy. Rows are keyed by address, so that a restarted process adds no second row. Rows of
 * removed VMs stay; they reduce each daemon's share of the retry budget, and those who would follow
 * them in the relay tree try them now and then.
 */
class daemon_table final : public table_listener {
 public:
  /** Table in the store; only the gateway daemons use it. */
  static constexpr std::string_view kTable = "daemons";

  using listener = std::function<void(const std::vector<routing::relay_member>& others)>;

  daemon_table(asio::io_context& loop,
               gateway_state& gateway,
               store_channel& channel,
               std::string own_address,
               listener on_change);

  /** Writes this daemon's row; retries until the store has acknowledged the write. */
  void Register();
  void Stop() { timer_.cancel(); }

  void OnTable(const std::vector<table_row>& rows, const table_position& position) override;
  void OnChanges(const std::vector<table_row>& rows, const table_position& position) override;
  void OnStoreLost(std::string_view reason) override;
  void OnStaleRead(const routing::store_version& known,
                   const routing::store_version& read) override;
  void OnStoreRegained(const store_outage& outage) override;

 private:
  /** Delay before a failed write of the row is retried. */
  static constexpr std::chrono::milliseconds kRegisterRetryDelay{700};

  void OnRegistered(const store_response& response);
  void OnMembersChanged(const table_position& position);
  /** Applies a row that announces a software version, or the removal of one. */
  void ApplyAnnouncement(const table_row& row);
  /** Withdraws the announcements that a complete table lacks. */
  void WithdrawUnlisted(const std::vector<table_row>& rows);
  /** Writes the row again if the table should have it. */
  void RegisterIfLost(const table_position& position);

  gateway_state& gateway_;
  dependency_log dependency_{gateway_.log, gateway_.time, "daemon_table"};
  store_channel& channel_;
  std::string own_address_;
  listener on_change_;
  asio::steady_timer timer_;
  /** Version of the acknowledged write of the row; empty while there is none. */
  std::optional<routing::store_version> registered_at_;
  /** Announced software versions, by key. */
  std::map<std::string, routing::software_version> announcements_;
  /** Failure domain of each daemon, by address; empty if its row does not tell. */
  std::map<std::string, std::string> domains_;
};

}  // namespace tarragon::gateway

#endif  // TARRAGON_GATEWAY_DAEMON_TABLE_H_
