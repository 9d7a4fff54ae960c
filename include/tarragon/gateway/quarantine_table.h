#ifndef TARRAGON_GATEWAY_QUARANTINE_TABLE_H_
#define TARRAGON_GATEWAY_QUARANTINE_TABLE_H_

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <chrono>
#include <string>
#include <string_view>
#include <vector>

#include "tarragon/gateway/gateway_state.h"
#include "tarragon/gateway/platform_adapter.h"
#include "tarragon/gateway/store_channel.h"

namespace tarragon::gateway {

/**
 * Keeps the quarantine in the store for daemons that start. Each daemon writes one row with the
 * traits that it knows whenever it has seen the crash that quarantined another one, and reads the
 * rows of all daemons once. Running daemons tell each other over `load_gossip`.
 */
class quarantine_table final {
 public:
  /** Table in the store; only the gateway daemons use it. */
  static constexpr std::string_view kTable = "quarantine";

  /** @param own_address key of this daemon's row. */
  quarantine_table(asio::io_context& loop,
                   gateway_state& gateway,
                   store_channel& channel,
                   std::string own_address);

  /** Reads the rows; retries until the store has answered. */
  void Restore();
  /** Writes this daemon's row; retries until the store has acknowledged the write. */
  void Save();
  /** Writes the row again if there is one: the store may have lost it. */
  void SaveAgain();

 private:
  static constexpr std::chrono::milliseconds kTimeout{1000};
  static constexpr std::chrono::milliseconds kRetryDelay{700};

  /** Starts the next call if there is one to make and none is pending. */
  void StartCall();
  void Read();
  void Write();
  void OnPage(const store_call_result& result);
  void ApplyRow(const table_row& row);
  void RetryLater();

  gateway_state& gateway_;
  store_channel& channel_;
  std::string own_address_;
  asio::steady_timer timer_;
  bool read_wanted_ = false;
  bool write_wanted_ = false;
  bool has_saved_ = false;
  bool call_pending_ = false;
  /** First key of the next page to read. */
  std::string next_key_;
};

}  // namespace tarragon::gateway

#endif  // TARRAGON_GATEWAY_QUARANTINE_TABLE_H_
