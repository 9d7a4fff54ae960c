#ifndef TARRAGON_GATEWAY_RELAY_CONNECTION_H_
#define TARRAGON_GATEWAY_RELAY_CONNECTION_H_

#include <array>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "tarragon/gateway/relay_message.h"

namespace tarragon::gateway {

class relay_connection;

/** Owner of relay connections. Callbacks come from the event loop. */
class relay_connection_listener {
 public:
  virtual ~relay_connection_listener() = default;
  virtual void OnRelayMessage(relay_connection& connection, relay_message message) = 0;
  /** All bytes of the last `Send` have been handed to the kernel. */
  virtual void OnRelayWritten(relay_connection& connection) = 0;
  /** The connection has failed or was closed by the peer. Not called after `Close`. */
  virtual void OnRelayClosed(relay_connection& connection) = 0;
};

/** TCP connection between a daemon that relays rows and one that follows it. */
class relay_connection final : public std::enable_shared_from_this<relay_connection> {
 public:
  /** `listener` must outlive the connection or call `Close` first. */
  relay_connection(asio::ip::tcp::socket socket, relay_connection_listener& listener);

  /** Connects and then sends `first`. */
  void Connect(const asio::ip::tcp::endpoint& target, const relay_message& first);
  /** Reads from a socket that is already connected. */
  void Accept();

  /** Must not be called while `is_writing`: the caller sends the newest state once it may. */
  void Send(const relay_message& message);
  /** Same for an encoded message, which may go to several daemons. */
  void SendFrame(std::string frame);
  bool is_writing() const { return writing_; }
  /** The connection has been established and not been closed. */
  bool is_open() const { return open_; }
  /** A message has been received in part. */
  bool has_partial_message() const { return reader_.has_partial_message(); }
  std::uint64_t received_bytes() const { return received_bytes_; }

  /** @return the socket, of which nobody reads or writes any more; the connection is closed. */
  asio::ip::tcp::socket Release();

  void Close();
  /** Closes the connection and tells the listener, as after an error. */
  void Fail();

 private:
  /** Time in which the peer must take what was sent; a peer that does not read is dropped. */
  static constexpr std::chrono::milliseconds kWriteTimeout{3000};

  void Read();
  /** Passes on the messages that are complete. @return false if the connection is useless. */
  bool HandleBytes(std::string_view bytes);

  asio::ip::tcp::socket socket_;
  asio::steady_timer write_timer_;
  relay_connection_listener* listener_;
  relay_frame_reader reader_;
  std::array<char, 16384> buffer_{};
  std::string pending_;
  std::uint64_t received_bytes_ = 0;
  bool writing_ = false;
  std::uint64_t write_number_ = 0;
  bool open_ = false;
};

}  // namespace tarragon::gateway

#endif  // TARRAGON_GATEWAY_RELAY_CONNECTION_H_
