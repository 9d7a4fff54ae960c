#ifndef TARRAGON_TESTS_EMULATOR_KEPT_CONNECTION_H_
#define TARRAGON_TESTS_EMULATOR_KEPT_CONNECTION_H_

#include <array>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "emulator/caller.h"
#include "tarragon/base/clock.h"
#include "tarragon/http/message_reader.h"

namespace tarragon::emulator {

/** One request of a `kept_connection` and when it was sent and ended. */
struct kept_request {
  std::shared_ptr<caller> request;
  time_point sent_at;
  /** Time of the complete answer or of the end of the connection. */
  time_point ended_at;
  bool has_ended = false;
  bool is_answered = false;
};

/**
 * A caller that sends one request after the other on the same connection for as long as the gateway
 * keeps it open, and then connects again.
 */
class kept_connection final : public http::message_listener,
                              public std::enable_shared_from_this<kept_connection> {
 public:
  using request_source = std::function<std::shared_ptr<caller>()>;
  using pause_source = std::function<std::chrono::milliseconds()>;

  /** @param pause time between an answer and the next request. */
  kept_connection(asio::io_context& loop,
                  const clock& time,
                  std::string address,
                  request_source next,
                  pause_source pause);

  void Start();
  /** Reads answers only after this time, with a small receive buffer. */
  void ReadAfter(std::chrono::milliseconds delay) { read_delay_ = delay; }
  /** Sends no further requests. */
  void Stop() { stopped_ = true; }
  const std::vector<kept_request>& requests() const { return requests_; }
  bool is_idle() const { return requests_.empty() || requests_.back().has_ended; }

 private:
  void OnHead(http::message_head head) override;
  void OnBody(std::string_view bytes) override;
  void OnMessageEnd() override;

  void Connect();
  void SendNext();
  void Read();
  void OnClosed();
  void End(bool answered);
  void After(std::chrono::milliseconds delay, void (kept_connection::*next)());
  gateway::exchange_listener& current() const { return *requests_.back().request; }

  const clock& time_;
  std::string address_;
  request_source next_;
  pause_source pause_;
  asio::ip::tcp::socket socket_;
  asio::steady_timer timer_;
  std::unique_ptr<http::message_reader> reader_;
  std::array<char, 8192> buffer_{};
  std::string outgoing_;
  std::vector<kept_request> requests_;
  std::chrono::milliseconds read_delay_{0};
  bool keep_alive_ = true;
  bool stopped_ = false;
};

}  // namespace tarragon::emulator

#endif  // TARRAGON_TESTS_EMULATOR_KEPT_CONNECTION_H_
