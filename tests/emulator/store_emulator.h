#ifndef TARRAGON_TESTS_EMULATOR_STORE_EMULATOR_H_
#define TARRAGON_TESTS_EMULATOR_STORE_EMULATOR_H_

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <cstdint>
#include <list>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>

#include "emulator/http_service.h"

namespace tarragon::emulator {

/** How the store answers calls. */
enum class store_state : std::uint8_t {
  kServing,
  /** 503: nothing was done. */
  kBusy,
  /** Connections are reset. */
  kResetting,
  /** Calls get no answer. */
  kSilent,
};

/** The platform's metadata store: tables of rows with versions, and feeds of their changes. */
class store_emulator final {
 public:
  explicit store_emulator(asio::io_context& loop);

  std::string address() const { return service_.address(); }

  /** Writes a row as the operator or an endpoint does. */
  void Put(const std::string& table, const std::string& key, const std::string& value);
  void Remove(const std::string& table, const std::string& key);

  void SetState(store_state state) { state_ = state; }
  /** Drops the history, so that feeds behind the present get 410. */
  void Compact() { oldest_ = version_; }

  std::size_t RowCount(const std::string& table) const;

 private:
  struct row {
    std::string value;
    std::uint64_t version = 0;
    bool deleted = false;
  };
  struct waiting_feed {
    std::string table;
    std::uint64_t after = 0;
    responder_ptr answer;
    std::shared_ptr<asio::steady_timer> limit;
  };

  void Handle(const incoming_request& request, const responder_ptr& answer);
  void Read(const incoming_request& request, const responder_ptr& answer);
  void Follow(const incoming_request& request, const responder_ptr& answer);
  void Transact(const incoming_request& request, const responder_ptr& answer);
  nlohmann::json Page(const std::string& table, std::uint64_t after, bool with_deleted) const;
  void Write(const std::string& table, const std::string& key, row value);
  void AnswerWaiting();

  asio::io_context& loop_;
  std::map<std::string, std::map<std::string, row>> tables_;
  std::uint64_t version_ = 1;
  std::uint64_t oldest_ = 0;
  store_state state_ = store_state::kServing;
  std::list<waiting_feed> waiting_;
  http_service service_;
};

}  // namespace tarragon::emulator

#endif  // TARRAGON_TESTS_EMULATOR_STORE_EMULATOR_H_
