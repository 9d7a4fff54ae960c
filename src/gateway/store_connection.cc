#include "tarragon/gateway/store_connection.h"

#include <fmt/format.h>

#include <asio/write.hpp>
#include <utility>

#include "tarragon/base/invariant.h"
#include "tarragon/gateway/socket_options.h"

namespace tarragon::gateway {

store_connection::store_connection(asio::io_context& loop,
                                   const platform_adapter& adapter,
                                   std::string address)
    : loop_(loop), adapter_(adapter), address_(std::move(address)), socket_(loop), timer_(loop) {}

store_connection::~store_connection() {
  *alive_ = false;
}

void store_connection::Call(service_call call, std::chrono::milliseconds timeout, callback done) {
  TARRAGON_INVARIANT(!done_, "a store call was made while another was pending");
  done_ = std::move(done);
  ++call_number_;
  response_ = {};
  sent_ = false;
  request_ = fmt::format("{} {} HTTP/1.1\r\nHost: {}\r\n", call.method, call.target, address_);
  if (!call.body.empty()) {
    request_ +=
        fmt::format("Content-Type: application/json\r\nContent-Length: {}\r\n", call.body.size());
  }
  request_ += "\r\n";
  request_ += call.body;
  timer_.expires_after(timeout);
  timer_.async_wait([this, number = call_number_, alive = alive_](const asio::error_code& error) {
    // The handler of an earlier call may have been queued before its cancellation.
    if (!error && *alive && done_ && number == call_number_) {
      Fail();
    }
  });
  if (connected_) {
    Send();
  } else {
    Connect();
  }
}

void store_connection::Cancel() {
  done_ = nullptr;
  ++call_number_;
  timer_.cancel();
  Disconnect();
}

void store_connection::Connect() {
  const std::uint64_t number = ++connection_number_;
  const auto target = ParseAddress(address_);
  asio::error_code error;
  socket_ = asio::ip::tcp::socket(loop_);
  if (target) {
    socket_.open(target->protocol(), error);
  }
  if (!target || error) {
    asio::post(loop_, [this, alive = alive_] {
      if (*alive) {
        Fail();
      }
    });
    return;
  }
  SetConnectionOptions(socket_);
  reader_ =
      std::make_unique<http::message_reader>(http::message_kind::kResponse, *this, kMaxHeaderBytes);
  socket_.async_connect(*target, [this, number, alive = alive_](const asio::error_code& code) {
    if (!*alive || number != connection_number_) {
      return;
    }
    if (code) {
      Fail();
      return;
    }
    connected_ = true;
    Send();
    Read();
  });
}

void store_connection::Send() {
  sent_ = true;
  auto bytes = std::make_shared<std::string>(std::move(request_));
  // The pending read reports a failed write.
  asio::async_write(socket_, asio::buffer(*bytes),
                    [bytes](const asio::error_code&, std::size_t) {});
}

void store_connection::Read() {
  socket_.async_read_some(
      asio::buffer(buffer_), [this, number = connection_number_, alive = alive_](
                                 const asio::error_code& error, std::size_t size) {
        if (!*alive || number != connection_number_) {
          return;
        }
        if (error) {
          if (error == asio::error::eof) {
            reader_->Finish();
          }
          if (number == connection_number_) {
            Fail();
          }
          return;
        }
        std::string_view bytes(buffer_.data(), size);
        while (!bytes.empty() && number == connection_number_) {
          bytes.remove_prefix(reader_->Feed(bytes));
          if (number == connection_number_ && reader_->error() != http::reader_error::kNone) {
            Fail();
          }
        }
        if (number == connection_number_) {
          Read();
        }
      });
}

void store_connection::Disconnect() {
  ++connection_number_;
  connected_ = false;
  asio::error_code ignored;
  socket_.close(ignored);
}

void store_connection::OnHead(http::message_head head) {
  response_.status = head.status;
  response_.era = adapter_.ReadStoreEra(head.headers);
  keep_alive_ = head.keep_alive;
}

void store_connection::OnBody(std::string_view bytes) {
  response_.body.append(bytes);
}

void store_connection::OnMessageEnd() {
  if (!keep_alive_ || !done_) {
    // `reader_` calls this function and must not be destroyed here, so only the connection is
    // closed.
    Disconnect();
  }
  if (done_) {
    Finish(std::move(response_));
  }
}

void store_connection::Finish(store_call_result result) {
  timer_.cancel();
  asio::post(loop_, [this, done = std::exchange(done_, nullptr), result = std::move(result),
                     number = call_number_, alive = alive_]() mutable {
    if (*alive && number == call_number_) {
      done(std::move(result));
    }
  });
}

void store_connection::Fail() {
  Disconnect();
  if (done_) {
    Finish(sent_ ? store::store_error::kUnknownOutcome : store::store_error::kUnavailable);
  }
}

}  // namespace tarragon::gateway
