#ifndef TARRAGON_TESTS_EMULATOR_STORE_EMULATOR_H_
#define TARRAGON_TESTS_EMULATOR_STORE_EMULATOR_H_

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

#include "emulator/http_service.h"

namespace tarragon::emulator {

/** How the store responds to calls. */
enum class store_state : std::uint8_t {
  kServing,
  /** Status 503; the call has no effect. */
  kBusy,
  /** Connections are reset; the calls have no effect. */
  kResetting,
  /** Calls get no response. */
  kSilent,
};

/** The platform's metadata store: tables of versioned rows, and feeds of their changes. */
class store_emulator final {
 public:
  explicit store_emulator(asio::io_context& loop);

  std::string address() const { return service_.address(); }

  /** Changes the value of a row for those who read it through a view. */
  using row_rewriter = std::function<std::string(const std::string& table, std::string value)>;
  /** @return `ip:port` at which the store serves with rewritten rows. */
  std::string AddView(row_rewriter rewrite);

  /** Writes a row, in place of the operator or an endpoint. */
  void Put(const std::string& table, const std::string& key, const std::string& value);
  void Remove(const std::string& table, const std::string& key);

  void SetState(store_state state) { state_ = state; }
  /** Drops the history, so that a feed that starts before the current version gets status 410. */
  void Compact() { oldest_feed_version_ = version_; }

  /** Remembers the tables as a copy of the store has them. */
  void MakeCopy();
  /**
   * Returns as the last copy was: what has been acknowledged since is lost, versions go back and
   * the era rises. The operator and the endpoints write again what they had written since; rows of
   * other tables stay lost.
   */
  void RestoreCopy();
  std::uint64_t era() const { return era_; }
  std::uint64_t version() const { return version_; }

  /** @return number of daemons that are registered; other rows of their table do not count. */
  std::size_t CountDaemons() const;
  /** @return number of records of streams, erased ones included. */
  std::size_t CountStreamRecords() const;
  std::uint64_t call_count() const { return call_count_; }

 private:
  struct row {
    std::string value;
    std::uint64_t version = 0;
    bool deleted = false;
  };
  struct view {
    row_rewriter rewrite;
    std::unique_ptr<http_service> service;
  };
  struct waiting_feed {
    const view* seen_by = nullptr;
    std::string table;
    std::uint64_t after = 0;
    responder_ptr response;
    std::shared_ptr<asio::steady_timer> timeout;
  };

  struct copy {
    std::map<std::string, std::map<std::string, row>> tables;
    std::uint64_t version = 1;
  };

  /** @param seen_by view through which the request came; null for none. */
  void Handle(const incoming_request& request, const responder_ptr& response, const view* seen_by);
  void HandleRowsGet(const incoming_request& request,
                     const responder_ptr& response,
                     const view* seen_by);
  void HandleRowsFeed(const incoming_request& request,
                      const responder_ptr& response,
                      const view* seen_by);
  void HandleRowsTransaction(const incoming_request& request, const responder_ptr& response);
  /** Rows of a page: those of the default partition unless a read names another one. */
  struct page_filter {
    std::string part;
    std::string from;
    /** First key that is left out; empty for none. */
    std::string to;
    std::uint64_t after = 0;
    bool with_deleted = false;
  };
  static page_filter FeedFilter(std::uint64_t after);
  nlohmann::json MakePage(const std::string& table,
                          const page_filter& filter,
                          const view* seen_by) const;
  void Respond(const responder_ptr& response, int status, std::string_view body) const;
  /** Writes the rows of a table that differ from the restored ones. */
  void WriteAgain(const std::string& table, const std::map<std::string, row>& lost);
  void Write(const std::string& table, const std::string& key, row value);
  void AnswerWaitingFeeds();

  asio::io_context& loop_;
  std::map<std::string, std::map<std::string, row>> tables_;
  std::uint64_t version_ = 1;
  std::uint64_t era_ = 1;
  copy copy_;
  std::uint64_t call_count_ = 0;
  std::uint64_t oldest_feed_version_ = 0;
  store_state state_ = store_state::kServing;
  std::list<waiting_feed> waiting_feeds_;
  std::list<view> views_;
  http_service service_;
};

}  // namespace tarragon::emulator

#endif  // TARRAGON_TESTS_EMULATOR_STORE_EMULATOR_H_
