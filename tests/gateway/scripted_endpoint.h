#ifndef TARRAGON_TESTS_GATEWAY_SCRIPTED_ENDPOINT_H_
#define TARRAGON_TESTS_GATEWAY_SCRIPTED_ENDPOINT_H_

#include <fmt/format.h>
#include <array>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/write.hpp>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace tarragon::gateway {

/** One connection that a scripted endpoint has accepted. */
class scripted_connection final : public std::enable_shared_from_this<scripted_connection> {
 public:
  explicit scripted_connection(asio::ip::tcp::socket socket) : socket_(std::move(socket)) {}

  void Send(std::string_view text) { asio::write(socket_, asio::buffer(text)); }
  /** Sends without blocking the loop, for texts that do not fit into the socket's buffer. */
  void SendLater(std::string text) {
    auto bytes = std::make_shared<std::string>(std::move(text));
    asio::async_write(socket_, asio::buffer(*bytes),
                      [self = shared_from_this(), bytes](const asio::error_code&, std::size_t) {});
  }
  /** Closes the connection without a reset. */
  void Close() { socket_.close(); }
  /** Ends what this side sends; the connection stays open and is read on. */
  void EndOutput() { socket_.shutdown(asio::socket_base::shutdown_send); }
  void Reset() {
    socket_.set_option(asio::socket_base::linger(true, 0));
    socket_.close();
  }
  const std::string& received() const { return received_; }
  bool closed_by_peer() const { return closed_by_peer_; }

 private:
  friend class scripted_endpoint;

  void Read(const std::function<void(scripted_connection&)>& on_request) {
    socket_.async_read_some(
        asio::buffer(buffer_),
        [self = shared_from_this(), on_request](const asio::error_code& error, std::size_t size) {
          if (error) {
            self->closed_by_peer_ = self->socket_.is_open();
            return;
          }
          const bool had_complete_head = self->has_complete_head();
          self->received_.append(self->buffer_.data(), size);
          if (!had_complete_head && self->has_complete_head()) {
            on_request(*self);
          }
          if (self->socket_.is_open()) {
            self->Read(on_request);
          }
        });
  }
  bool has_complete_head() const { return received_.find("\r\n\r\n") != std::string::npos; }

  asio::ip::tcp::socket socket_;
  std::array<char, 4096> buffer_{};
  std::string received_;
  bool closed_by_peer_ = false;
};

/** Endpoint on loopback that runs a script for each request. */
class scripted_endpoint final {
 public:
  using script = std::function<void(scripted_connection&)>;

  scripted_endpoint(asio::io_context& loop, script on_request)
      : acceptor_(loop, asio::ip::tcp::endpoint(asio::ip::address_v4::loopback(), 0)),
        script_(std::move(on_request)) {
    Accept();
  }

  std::string address() const {
    return fmt::format("127.0.0.1:{}", acceptor_.local_endpoint().port());
  }
  /** Stops accepting connections; later connects are refused. */
  void Close() { acceptor_.close(); }

  std::vector<std::shared_ptr<scripted_connection>> connections;

 private:
  void Accept() {
    acceptor_.async_accept([this](const asio::error_code& error, asio::ip::tcp::socket socket) {
      if (error) {
        return;
      }
      connections.push_back(std::make_shared<scripted_connection>(std::move(socket)));
      connections.back()->Read(script_);
      Accept();
    });
  }

  asio::ip::tcp::acceptor acceptor_;
  script script_;
};

}  // namespace tarragon::gateway

#endif  // TARRAGON_TESTS_GATEWAY_SCRIPTED_ENDPOINT_H_
