#include "tarragon/gateway/status_server.h"

#include <fmt/format.h>

#include <array>
#include <asio/steady_timer.hpp>
#include <asio/write.hpp>
#include <chrono>
#include <cstddef>
#include <utility>

#include "tarragon/gateway/socket_options.h"
#include "tarragon/http/message_reader.h"

namespace tarragon::gateway {

namespace {

constexpr std::size_t kMaxHeaderBytes = std::size_t{16} << 10;
/** Idle connections are closed after this time. */
constexpr std::chrono::seconds kIdleTimeout{15};
/** Caller retries arrive in bursts; a full backlog delays a connection by a second. */
constexpr int kListenBacklog = 1024;

}  // namespace

bool OpenAcceptor(asio::ip::tcp::acceptor& acceptor, const std::string& address) {
  const auto target = ParseAddress(address);
  if (!target) {
    return false;
  }
  asio::error_code error;
  acceptor.open(target->protocol(), error);
  if (!error) {
    acceptor.set_option(asio::socket_base::reuse_address(true), error);
    acceptor.bind(*target, error);
  }
  if (!error) {
    acceptor.listen(kListenBacklog, error);
  }
  return !error;
}

class status_server::connection final : public http::message_listener,
                                        public std::enable_shared_from_this<connection> {
 public:
  connection(asio::ip::tcp::socket socket, const handler& on_request)
      : socket_(std::move(socket)),
        timer_(socket_.get_executor()),
        handler_(on_request),
        reader_(http::message_kind::kRequest, *this, kMaxHeaderBytes) {}

  void Read() {
    timer_.expires_after(kIdleTimeout);
    timer_.async_wait([self = weak_from_this()](const asio::error_code& error) {
      if (const auto alive = self.lock(); alive && !error) {
        alive->Close();
      }
    });
    socket_.async_read_some(
        asio::buffer(buffer_),
        [self = shared_from_this()](const asio::error_code& error, std::size_t size) {
          if (error) {
            self->Close();
            return;
          }
          self->HandleBytes({self->buffer_.data(), size});
        });
  }

 private:
  void HandleBytes(std::string_view bytes) {
    while (!bytes.empty() && reader_.error() == http::reader_error::kNone) {
      bytes.remove_prefix(reader_.Feed(bytes));
    }
    if (reader_.error() != http::reader_error::kNone) {
      Close();
      return;
    }
    if (output_.empty()) {
      Read();
      return;
    }
    asio::async_write(socket_, asio::buffer(output_),
                      [self = shared_from_this()](const asio::error_code& error, std::size_t) {
                        self->output_.clear();
                        if (error || !self->keep_alive_) {
                          self->Close();
                          return;
                        }
                        self->Read();
                      });
  }

  void OnHead(http::message_head head) override {
    path_ = head.target.substr(0, head.target.find('?'));
    keep_alive_ = head.keep_alive;
    omits_body_ = head.method == "HEAD";
  }
  void OnBody(std::string_view) override {}
  void OnMessageEnd() override {
    const response reply = handler_(path_);
    output_ += fmt::format(
        "HTTP/1.1 {} Status\r\nContent-Type: text/plain\r\nContent-Length: {}\r\n\r\n{}",
        reply.status, reply.body.size(), omits_body_ ? std::string_view() : reply.body);
  }

  void Close() {
    timer_.cancel();
    asio::error_code ignored;
    socket_.close(ignored);
  }

  asio::ip::tcp::socket socket_;
  asio::steady_timer timer_;
  const handler& handler_;
  http::message_reader reader_;
  std::array<char, 1024> buffer_{};
  std::string path_;
  std::string output_;
  bool keep_alive_ = true;
  bool omits_body_ = false;
};

status_server::status_server(asio::io_context& loop, handler on_request)
    : loop_(loop), acceptor_(loop), handler_(std::move(on_request)) {}

bool status_server::Listen(const std::string& address) {
  if (!OpenAcceptor(acceptor_, address)) {
    return false;
  }
  Accept();
  return true;
}

void status_server::Close() {
  asio::error_code ignored;
  acceptor_.close(ignored);
}

void status_server::Accept() {
  acceptor_.async_accept([this](const asio::error_code& error, asio::ip::tcp::socket socket) {
    if (!acceptor_.is_open()) {
      return;
    }
    if (!error) {
      SetConnectionOptions(socket);
      std::make_shared<connection>(std::move(socket), handler_)->Read();
    }
    Accept();
  });
}

}  // namespace tarragon::gateway
