#ifndef TARRAGON_GATEWAY_ORIGIN_TABLE_H_
#define TARRAGON_GATEWAY_ORIGIN_TABLE_H_

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <chrono>
#include <deque>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "tarragon/gateway/gateway_state.h"
#include "tarragon/gateway/origin_finder.h"
#include "tarragon/gateway/store_channel.h"
#include "tarragon/gateway/version_announcements.h"

namespace tarragon::gateway {

/**
 * Keeps in the store what daemons must know of streams that outlive the daemon which began them:
 * the announced software versions of each service, and, while a service has several, the version to
 * which each resumable stream was sent. See docs/design/stream-origins.md.
 */
class origin_table final : public origin_finder {
 public:
  /** Table of the records of streams; only the gateway daemons use it. */
  static constexpr std::string_view kTable = "streams";
  /** Partition of its rows, whose writes do not delay those of other tables. */
  static constexpr std::string_view kPartition = "streams";

  /** @param writes,reads channels that nobody else uses. */
  origin_table(asio::io_context& loop,
               gateway_state& gateway,
               store_channel& writes,
               store_channel& reads);

  void Find(routing::stream_key key, std::string service, callback done) override;

  /** Writes what the store lacks; called after a change, and regularly. */
  void Update();

 private:
  struct lookup {
    routing::stream_key key;
    std::string service;
    callback done;
    time_point asked_at;
  };
  /** What one write puts into the store. */
  struct write_batch {
    std::vector<routing::software_version> announced;
    std::vector<routing::stream_origin> written;
    std::vector<routing::stream_origin> erased;

    bool empty() const { return announced.empty() && written.empty() && erased.empty(); }
  };

  void ScheduleUpdate(duration delay);
  /** @return time between two writes of records, so that all daemons together load the store. */
  duration WriteInterval() const;
  /**
   * Spreads a write that all daemons would make at the same moment, so that few of them make it.
   * @param until time from which this daemon may write; chosen by the first call.
   */
  bool HasWaited(time_point now, std::optional<time_point>& until);
  bool MayAnnounce(time_point now);
  bool MayWithdraw(time_point now);
  write_batch MakeBatch(time_point now);
  service_call MakeCall(const write_batch& batch) const;
  void Write(write_batch batch);
  void OnWritten(const write_batch& batch, const store_call_result& result);
  void Withdraw(const routing::software_version& version);
  void OnVersionRead(const routing::software_version& version, const store_call_result& result);

  void AskNext();
  void OnRecords(const store_call_result& result);
  void OnVersions(const store_call_result& result);
  void FinishLookup(std::optional<routing::take_up_decision> decision);
  decode_result<table_page> Decode(const store_call_result& result,
                                   std::string_view partition) const;

  gateway_state& gateway_;
  store_channel& writes_;
  store_channel& reads_;
  asio::steady_timer timer_;
  bool is_writing_ = false;
  time_point next_record_write_;
  /** When this daemon announces versions that nobody else has announced until then. */
  std::optional<time_point> announce_at_;
  /** Same for versions that may be withdrawn. */
  std::optional<time_point> withdraw_at_;
  std::deque<lookup> lookups_;
  bool is_asking_ = false;
};

}  // namespace tarragon::gateway

#endif  // TARRAGON_GATEWAY_ORIGIN_TABLE_H_
