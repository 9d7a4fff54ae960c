#ifndef TARRAGON_GATEWAY_STORE_CONNECTION_H_
#define TARRAGON_GATEWAY_STORE_CONNECTION_H_

#include <array>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include "tarragon/gateway/store_channel.h"
#include "tarragon/http/message_reader.h"

namespace tarragon::gateway {

/**
 * Asynchronous store calls over one persistent connection. (`store::http_platform_store` blocks and
 * is for programs with a thread to spare.) A connection with a late or malformed response is
 * closed, because bytes that arrive later would be taken for the response to the next call.
 */
class store_connection final : public store_channel, public http::message_listener {
 public:
  /** @param address `ip:port` of the store. */
  store_connection(asio::io_context& loop, const platform_adapter& adapter, std::string address);
  ~store_connection() override;

  void Call(service_call call, std::chrono::milliseconds timeout, callback done) override;

  /** Closes the connection, so that a late response is not taken for that of the next call. */
  void Cancel() override;

 private:
  static constexpr std::size_t kReadBytes = 16384;
  static constexpr std::size_t kMaxHeaderBytes = std::size_t{16} << 10;
  /** Time after which a store that accepts no connection counts as unavailable. */
  static constexpr std::chrono::milliseconds kConnectTimeout{700};

  void OnHead(http::message_head head) override;
  void OnBody(std::string_view bytes) override;
  void OnMessageEnd() override;

  void Connect();
  void Send();
  void Read();
  void Disconnect();
  void Finish(store_call_result result);
  void Fail();

  asio::io_context& loop_;
  const platform_adapter& adapter_;
  std::string address_;
  asio::ip::tcp::socket socket_;
  asio::steady_timer timer_;
  std::unique_ptr<http::message_reader> reader_;
  std::array<char, kReadBytes> buffer_{};
  /** Changes with each connect and disconnect; handlers of older connections are ignored. */
  std::uint64_t connection_number_ = 0;
  /** Changes with each call and cancellation; the results of older calls are dropped. */
  std::uint64_t call_number_ = 0;
  bool connected_ = false;
  bool keep_alive_ = true;
  bool sent_ = false;
  std::string request_;
  store_response response_;
  callback done_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace tarragon::gateway

#endif  // TARRAGON_GATEWAY_STORE_CONNECTION_H_
