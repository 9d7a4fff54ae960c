#ifndef TARRAGON_GATEWAY_HTTP_EXCHANGE_H_
#define TARRAGON_GATEWAY_HTTP_EXCHANGE_H_

#include <array>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include "tarragon/gateway/connection_attempt.h"
#include "tarragon/gateway/connection_ending.h"
#include "tarragon/gateway/tunnel_chunks.h"
#include "tarragon/http/message_reader.h"

namespace tarragon::gateway {

enum class exchange_error : std::uint8_t {
  /** No connection was established, so no byte was sent. */
  kConnectFailed,
  /** Same, as nothing listens at the address. */
  kRefused,
  /** The connection closed before the response was complete. */
  kLost,
  /** The received bytes are not a valid HTTP response. */
  kMalformed,
};

/** Receives the response of one exchange. No method is called after `Cancel`. */
class exchange_listener {
 public:
  virtual ~exchange_listener() = default;
  /** The head of a final (not 1xx) response. */
  virtual void OnResponseHead(http::message_head head) = 0;
  virtual void OnResponseBody(std::string_view bytes) = 0;
  virtual void OnResponseEnd() = 0;
  virtual void OnExchangeError(exchange_error error) = 0;
};

/**
 * One HTTP request and its response on a dedicated connection. Connections to endpoints are not
 * reused: if the peer has just closed a reused connection, has gone silent, or has left bytes of
 * another response on it, the gateway cannot tell whether the new request ran.
 */
class http_exchange final : public http::message_listener,
                            public std::enable_shared_from_this<http_exchange> {
 public:
  /**
   * @param listener must stay valid until the end of the exchange or `Cancel`.
   * @param paths null to connect only directly.
   */
  http_exchange(asio::io_context& loop, exchange_listener& listener, path_monitor* paths = nullptr);
  ~http_exchange() override;

  /**
   * @param request complete serialized request.
   * @param no_response_body the request's method is HEAD.
   */
  void Start(const std::string& address, std::string request, bool no_response_body);

  /** Closes the connection; the listener is not called any more. */
  void Cancel();

  /** Waits for another response; the completed one belonged to a different request. */
  void AwaitNextResponse();

 private:
  void OnHead(http::message_head head) override;
  void OnBody(std::string_view bytes) override;
  void OnMessageEnd() override;

  void OnConnectResult(connect_result result);
  void Send();
  void Read();
  void Consume(std::string_view bytes);
  /** Reads bytes of the connection, from which `Consume` gets those of the endpoint. */
  void Receive(std::string_view bytes);
  /** No more bytes of the endpoint can come. */
  void OnEnded(bool is_orderly);
  void Fail(exchange_error error);

  static constexpr std::size_t kReadBytes = 8192;
  static constexpr std::size_t kMaxHeaderBytes = std::size_t{64} << 10;

  asio::ip::tcp::socket socket_;
  std::shared_ptr<connection_attempt> attempt_;
  exchange_listener* listener_;
  http::message_reader reader_;
  std::string request_;
  bool is_request_written_ = false;
  endpoint_path path_ = endpoint_path::kDirect;
  tunnel_chunk_reader chunks_;
  std::array<char, kReadBytes> buffer_{};
  bool informational_ = false;
  bool ended_ = false;
};

}  // namespace tarragon::gateway

#endif  // TARRAGON_GATEWAY_HTTP_EXCHANGE_H_
