#ifndef TARRAGON_GATEWAY_TABLE_WATCHER_H_
#define TARRAGON_GATEWAY_TABLE_WATCHER_H_

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "tarragon/gateway/platform_adapter.h"
#include "tarragon/gateway/store_channel.h"
#include "tarragon/gateway/table_listener.h"
#include "tarragon/routing/retry_backoff.h"
#include "tarragon/routing/store_pace.h"

namespace tarragon::gateway {

struct watch_options {
  /**
   * Longest wait of one feed call at the store. A call made before a store outage must time out
   * soon after the outage ends, because changes must take effect within 2 s of being acknowledged.
   */
  std::chrono::milliseconds wait{2000};
  /** Timeout of a read, and of a feed call in addition to `wait`. */
  std::chrono::milliseconds response_timeout = routing::kStoreResponseTimeout;
  /** Minimum time between two feed calls; changes within it are fetched together. */
  std::chrono::milliseconds min_interval{0};
  /**
   * Backoff from the start of a call that fails to the next one; doubles with each consecutive
   * failure up to the maximum.
   */
  std::chrono::milliseconds initial_backoff = routing::kInitialStoreBackoff;
  std::chrono::milliseconds max_backoff{800};
  /** Delay before a read that returned a stale version is repeated. */
  std::chrono::milliseconds stale_read_delay{400};
};

/** Reads a table and watches its changes; resynchronizes when the store has dropped history. */
class table_watcher final {
 public:
  table_watcher(asio::io_context& loop,
                const platform_adapter& adapter,
                store_channel& channel,
                std::string table,
                table_listener& listener,
                watch_options options,
                std::uint64_t seed);

  /**
   * Starts or resumes to watch.
   * @param known_version version up to which the listener knows the table; empty if it has none.
   */
  void Start(const routing::store_version& known_version = {});
  /** Stops without a further call to the listener; a pending call is abandoned. */
  void Stop();
  bool is_running() const { return running_; }

  /** Calls the store now if the watch waits after a failed call: it may serve again. */
  void RetryNow();

  /** @return whether the last call failed. */
  bool is_failing() const { return outage_reported_; }

  /** @param on_regained called after the first call that succeeds after failed ones. */
  void SetRegainedListener(std::function<void()> on_regained) {
    on_regained_ = std::move(on_regained);
  }

  /** Takes effect with the next call. */
  void SetPace(const routing::store_pace& pace);

 private:
  void Load();
  void LoadPage(const std::string& from);
  void OnPage(store_call_result result);
  void FinishLoad();
  void Watch();
  void OnFeed(store_call_result result);
  /** Handles a result so that an exception does not end the watch. */
  void HandleResult(store_call_result result, void (table_watcher::*handle)(store_call_result));
  /** @return whether the response comes from a later era than the listener's rows. */
  bool IsFromLaterEra(const store_response& response) const;
  void OnCallFailed(std::string_view reason);
  /** Makes a call and remembers when. */
  void Call(service_call call,
            std::chrono::milliseconds timeout,
            void (table_watcher::*handle)(store_call_result));
  void OnCallSucceeded();
  void ScheduleAfter(std::chrono::milliseconds delay, void (table_watcher::*next)());
  void Retry();

  const platform_adapter& adapter_;
  store_channel& channel_;
  std::string table_;
  table_listener& listener_;
  watch_options options_;
  asio::steady_timer timer_;
  std::mt19937_64 random_;
  /** Newest version seen; older tables are not applied. */
  routing::store_version version_;
  bool loaded_ = false;
  bool connected_ = false;
  bool outage_reported_ = false;
  store_outage outage_;
  bool running_ = false;
  /** Waits after a failed call. */
  bool is_backing_off_ = false;
  /** Changes whenever a wait begins or is given up. */
  std::uint64_t wait_number_ = 0;
  std::function<void()> on_regained_;
  routing::retry_backoff backoff_;
  std::vector<table_row> page_rows_;
  std::optional<table_position> page_position_;
  std::chrono::steady_clock::time_point last_feed_;
  std::chrono::steady_clock::time_point call_started_;
  /** When the last failed call could still have been answered. */
  std::chrono::steady_clock::time_point unanswered_at_;
};

}  // namespace tarragon::gateway

#endif  // TARRAGON_GATEWAY_TABLE_WATCHER_H_
