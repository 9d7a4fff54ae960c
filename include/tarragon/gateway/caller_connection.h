#ifndef TARRAGON_GATEWAY_CALLER_CONNECTION_H_
#define TARRAGON_GATEWAY_CALLER_CONNECTION_H_

#include <array>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include "tarragon/base/clock.h"
#include "tarragon/gateway/gateway_state.h"
#include "tarragon/gateway/request_handler.h"
#include "tarragon/gateway/response_writer.h"
#include "tarragon/http/message_reader.h"
#include "tarragon/routing/service_config.h"

namespace tarragon::gateway {

/** Caller connection: reads requests one at a time and writes their responses in order. */
class caller_connection final : public response_writer,
                                public http::message_listener,
                                public memory_holder,
                                public std::enable_shared_from_this<caller_connection> {
 public:
  caller_connection(gateway_state& gateway, asio::ip::tcp::socket socket);
  ~caller_connection() override;

  void Start();
  /** Refuses a request that has arrived in part, and closes the connection. */
  void RefuseUpload();

 private:
  /** Retry-After of requests that are refused for want of memory. */
  static constexpr std::chrono::milliseconds kScarceRetryAfter{1000};

  static constexpr std::size_t kReadBytes = 4096;
  /** Pipelined request bytes buffered while a request is served; reading pauses above this. */
  static constexpr std::size_t kMaxPendingBytes = std::size_t{64} << 10;
  /** Unsent response bytes at which a slow reader's connection is reset. */
  static constexpr std::size_t kMaxUnsentBytes = std::size_t{8} << 20;

  // http::message_listener:
  void OnHead(http::message_head head) override;
  void OnBody(std::string_view bytes) override;
  void OnMessageEnd() override;

  // memory_holder:
  void GiveWay() override;

  // response_writer:
  void SendResponse(int status, http::header_list headers, std::string_view body) override;
  void BeginStream(int status, http::header_list headers) override;
  void SendStreamBytes(std::string_view bytes) override;
  void EndStream() override;
  void AbortResponse() override;

  void Read();
  void ReadSome();
  /** States to the memory budget what the connection holds. */
  void UpdateMemory();
  void Consume();
  void StartRequest();
  /** @param retry_after sent with status 503. */
  void RejectRequest(int status,
                     std::string_view reason,
                     std::chrono::milliseconds retry_after = kScarceRetryAfter);
  void RejectUnreadable();
  void OnResponseDone();
  void Write(std::string_view bytes);
  void Flush();
  /** Keeps the gateway's list of uploads. */
  void UpdateUpload();
  /** Keeps the gateway's count of connections with unsent bytes. */
  void CountUnsent();
  void OnPeerClosed();
  void Close(bool reset);
  /** Chooses whether the kernel resets the connection when it is closed, also by a kill. */
  void SetResetsOnClose(bool resets);
  void ArmTimer();
  void OnTimer();
  time_point NextTimeout() const;
  bool WillClose() const;
  std::string FormatHead(int status, http::header_list& headers, std::string_view framing) const;

  gateway_state& gateway_;
  asio::ip::tcp::socket socket_;
  asio::steady_timer timer_;
  memory_budget::connection_id account_;
  /** Limits of the configuration in force when the connection was accepted. */
  routing::caller_limits limits_;
  http::message_reader reader_;
  std::array<char, kReadBytes> buffer_{};
  std::string pending_;
  /** Keeps the connection while reading has paused. */
  std::shared_ptr<caller_connection> paused_self_;
  caller_request request_;
  std::shared_ptr<request_handler> handler_;
  /** Memory of the request in service and of its copy for the endpoint. */
  std::size_t serving_bytes_ = 0;
  std::string unsent_;
  std::string writing_;
  time_point last_activity_;
  time_point message_start_;
  bool reading_ = false;
  bool head_read_ = false;
  bool keep_alive_ = true;
  bool chunked_response_ = true;
  /** The request's method is HEAD. */
  bool omits_body_ = false;
  bool body_too_large_ = false;
  bool close_after_write_ = false;
  /** A response without a length has begun and not ended: only a reset shows that it is cut off. */
  bool ends_with_connection_ = false;
  bool resets_on_close_ = false;
  bool closed_ = false;
  bool consuming_ = false;
  bool counted_as_unsent_ = false;
};

}  // namespace tarragon::gateway

#endif  // TARRAGON_GATEWAY_CALLER_CONNECTION_H_
