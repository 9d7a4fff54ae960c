#ifndef TARRAGON_TESTS_EMULATOR_CALLER_H_
#define TARRAGON_TESTS_EMULATOR_CALLER_H_

#include <asio/io_context.hpp>
#include <cstdint>
#include <memory>
#include <string>

#include "tarragon/gateway/http_exchange.h"

namespace tarragon::emulator {

enum class call_kind : std::uint8_t {
  /** May run any number of times. */
  kRead,
  /** Runs once at most. */
  kCommit,
  /** A long stream that runs once and may go on from copies. */
  kReport,
  /** A short stream that may be continued behind its last event. */
  kTag,
};

/** One request of a caller and what became of it. */
class caller final : public gateway::exchange_listener,
                     public std::enable_shared_from_this<caller> {
 public:
  /** @param events length of the stream; not used for plain calls. */
  caller(asio::io_context& loop, std::string id, call_kind kind, std::uint64_t events);

  /** @param address of a gateway. */
  void Send(const std::string& address);
  /** Closes the connection before the answer is complete. */
  void Leave();

  const std::string& id() const { return id_; }
  call_kind kind() const { return kind_; }
  /** The answer is complete, the connection has ended, or the caller has left. */
  bool done() const { return done_; }
  bool left() const { return left_; }
  /** Status of the answer; 0 if none has begun. */
  int status() const { return status_; }
  /** A complete answer with status 200. */
  bool served() const { return done_ && complete_ && status_ == 200; }
  /** A complete answer that promises that the request has not run. */
  bool refused() const { return complete_ && (status_ == 503 || status_ == 429); }

  /** @return what is wrong with the answer as far as it has come; empty if nothing. */
  std::string Fault() const;

 private:
  void OnResponseHead(http::message_head head) override;
  void OnResponseBody(std::string_view bytes) override;
  void OnResponseEnd() override;
  void OnExchangeError(gateway::exchange_error error) override;

  std::string Path() const;
  bool is_stream() const { return kind_ == call_kind::kReport || kind_ == call_kind::kTag; }
  std::string ExpectedEvents(std::uint64_t count) const;

  asio::io_context& loop_;
  std::string id_;
  call_kind kind_;
  std::uint64_t events_;
  std::shared_ptr<gateway::http_exchange> exchange_;
  int status_ = 0;
  bool signed_ = false;
  std::string body_;
  bool complete_ = false;
  bool done_ = false;
  bool left_ = false;
};

}  // namespace tarragon::emulator

#endif  // TARRAGON_TESTS_EMULATOR_CALLER_H_
