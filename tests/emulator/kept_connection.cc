#include "emulator/kept_connection.h"

#include <asio/write.hpp>
#include <utility>

#include "tarragon/gateway/socket_options.h"

namespace tarragon::emulator {

namespace {

constexpr std::size_t kMaxHeaderBytes = std::size_t{16} << 10;
constexpr int kSmallBufferBytes = 16 << 10;
/** Pause before another connect to a gateway that is down. */
constexpr std::chrono::milliseconds kReconnectDelay{50};

}  // namespace

kept_connection::kept_connection(asio::io_context& loop,
                                 const clock& time,
                                 std::string address,
                                 request_source next,
                                 pause_source pause)
    : time_(time),
      address_(std::move(address)),
      next_(std::move(next)),
      pause_(std::move(pause)),
      socket_(loop),
      timer_(loop) {}

void kept_connection::Start() {
  Connect();
}

void kept_connection::After(std::chrono::milliseconds delay, void (kept_connection::*next)()) {
  timer_.expires_after(delay);
  timer_.async_wait([self = shared_from_this(), next](const asio::error_code& error) {
    if (!error && !self->stopped_) {
      ((*self).*next)();
    }
  });
}

void kept_connection::Connect() {
  asio::error_code ignored;
  socket_.close(ignored);
  keep_alive_ = true;
  reader_ =
      std::make_unique<http::message_reader>(http::message_kind::kResponse, *this, kMaxHeaderBytes);
  socket_.open(asio::ip::tcp::v4(), ignored);
  if (read_delay_.count() > 0) {
    socket_.set_option(asio::socket_base::receive_buffer_size(kSmallBufferBytes), ignored);
  }
  socket_.async_connect(*gateway::ParseAddress(address_),
                        [self = shared_from_this()](const asio::error_code& error) {
                          if (error) {
                            self->After(kReconnectDelay, &kept_connection::Connect);
                            return;
                          }
                          self->SendNext();
                          if (self->read_delay_.count() > 0) {
                            self->After(self->read_delay_, &kept_connection::Read);
                          } else {
                            self->Read();
                          }
                        });
}

void kept_connection::SendNext() {
  if (stopped_) {
    return;
  }
  const std::shared_ptr<caller> request = next_();
  requests_.push_back({request, time_.Now(), {}, false, false});
  outgoing_ = request->RequestText();
  // The pending read reports a failed write.
  asio::async_write(socket_, asio::buffer(outgoing_),
                    [self = shared_from_this()](const asio::error_code&, std::size_t) {});
}

void kept_connection::Read() {
  socket_.async_read_some(
      asio::buffer(buffer_),
      [self = shared_from_this()](const asio::error_code& error, std::size_t size) {
        if (error) {
          self->OnClosed();
          return;
        }
        std::string_view bytes(self->buffer_.data(), size);
        while (!bytes.empty() && self->reader_->error() == http::reader_error::kNone) {
          bytes.remove_prefix(self->reader_->Feed(bytes));
        }
        if (!self->keep_alive_ && self->is_idle()) {
          self->After(self->pause_(), &kept_connection::Connect);
          return;
        }
        self->Read();
      });
}

void kept_connection::OnHead(http::message_head head) {
  keep_alive_ = head.keep_alive;
  current().OnResponseHead(std::move(head));
}

void kept_connection::OnBody(std::string_view bytes) {
  current().OnResponseBody(bytes);
}

void kept_connection::OnMessageEnd() {
  current().OnResponseEnd();
  End(/*answered=*/true);
  if (keep_alive_) {
    After(pause_(), &kept_connection::SendNext);
  }
}

void kept_connection::OnClosed() {
  timer_.cancel();
  if (!is_idle()) {
    current().OnExchangeError(gateway::exchange_error::kLost);
    End(/*answered=*/false);
  }
  After(kReconnectDelay, &kept_connection::Connect);
}

void kept_connection::End(bool answered) {
  kept_request& ended = requests_.back();
  ended.ended_at = time_.Now();
  ended.has_ended = true;
  ended.is_answered = answered;
}

}  // namespace tarragon::emulator
