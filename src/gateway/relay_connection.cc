#include "tarragon/gateway/relay_connection.h"

#include <asio/write.hpp>
#include <exception>
#include <utility>

#include "tarragon/base/invariant.h"
#include "tarragon/gateway/socket_options.h"

namespace tarragon::gateway {

relay_connection::relay_connection(asio::ip::tcp::socket socket,
                                   relay_connection_listener& listener)
    : socket_(std::move(socket)), write_timer_(socket_.get_executor()), listener_(&listener) {}

void relay_connection::Connect(const asio::ip::tcp::endpoint& target, const relay_message& first) {
  asio::error_code ignored;  // A socket that cannot be opened fails to connect.
  socket_.open(target.protocol(), ignored);
  SetConnectionOptions(socket_);
  socket_.async_connect(target, [self = shared_from_this(), first](const asio::error_code& error) {
    if (self->listener_ == nullptr) {
      return;
    }
    if (error) {
      self->Fail();
      return;
    }
    self->open_ = true;
    self->Send(first);
    self->Read();
  });
}

void relay_connection::Accept() {
  open_ = true;
  SetConnectionOptions(socket_);
  Read();
}

void relay_connection::Read() {
  socket_.async_read_some(
      asio::buffer(buffer_),
      [self = shared_from_this()](const asio::error_code& error, std::size_t size) {
        if (self->listener_ == nullptr) {
          return;
        }
        // After an exception nobody would read the connection, so that it is closed.
        const bool valid = !error && self->HandleBytes({self->buffer_.data(), size});
        if (self->listener_ == nullptr) {
          return;
        }
        if (!valid) {
          self->Fail();
          return;
        }
        self->Read();
      });
}

bool relay_connection::HandleBytes(std::string_view bytes) {
  std::vector<relay_message> messages;
  received_bytes_ += bytes.size();
  const bool valid = reader_.Feed(bytes, messages);
  try {
    for (relay_message& message : messages) {
      if (listener_ != nullptr) {
        listener_->OnRelayMessage(*this, std::move(message));
      }
    }
  } catch (const std::exception&) {
    return false;
  }
  return valid;
}

void relay_connection::Send(const relay_message& message) {
  SendFrame(EncodeFrame(message));
}

void relay_connection::SendFrame(std::string frame) {
  TARRAGON_INVARIANT(!writing_, "a message was sent before the last one was written");
  writing_ = true;
  pending_ = std::move(frame);
  write_timer_.expires_after(kWriteTimeout);
  write_timer_.async_wait(
      [self = weak_from_this(), write = ++write_number_](const asio::error_code& error) {
        const auto alive = self.lock();
        // The handler of an earlier write may have been queued before its cancellation.
        const bool is_pending = alive && alive->writing_ && alive->write_number_ == write;
        if (is_pending && !error && alive->listener_ != nullptr) {
          alive->Fail();
        }
      });
  asio::async_write(socket_, asio::buffer(pending_),
                    [self = shared_from_this()](const asio::error_code& error, std::size_t) {
                      self->writing_ = false;
                      self->write_timer_.cancel();
                      // The pending read reports a failed write.
                      if (!error && self->listener_ != nullptr) {
                        self->listener_->OnRelayWritten(*self);
                      }
                    });
}

asio::ip::tcp::socket relay_connection::Release() {
  asio::ip::tcp::socket released = std::move(socket_);
  Close();
  return released;
}

void relay_connection::Fail() {
  relay_connection_listener* const listener = listener_;
  Close();
  if (listener != nullptr) {
    listener->OnRelayClosed(*this);
  }
}

void relay_connection::Close() {
  listener_ = nullptr;
  open_ = false;
  write_timer_.cancel();
  asio::error_code ignored;
  socket_.close(ignored);
}

}  // namespace tarragon::gateway
