#include "tarragon/gateway/http_exchange.h"

#include <asio/write.hpp>
#include <utility>
#include <variant>

namespace tarragon::gateway {

http_exchange::http_exchange(asio::io_context& loop,
                             exchange_listener& listener,
                             path_monitor* paths)
    : socket_(loop),
      attempt_(std::make_shared<connection_attempt>(loop, paths)),
      listener_(&listener),
      reader_(http::message_kind::kResponse, *this, kMaxHeaderBytes) {}

http_exchange::~http_exchange() = default;

void http_exchange::Start(const std::string& address, std::string request, bool no_response_body) {
  request_ = std::move(request);
  if (no_response_body) {
    reader_.ExpectNoBody();
  }
  attempt_->Start(address, [self = shared_from_this()](connect_result result) {
    self->OnConnectResult(std::move(result));
  });
}

void http_exchange::OnConnectResult(connect_result result) {
  if (listener_ == nullptr) {
    return;
  }
  if (auto* const connection = std::get_if<endpoint_connection>(&result)) {
    socket_ = std::move(connection->socket);
    path_ = connection->path;
    Send();
    Read();
    return;
  }
  Fail(std::get<connect_failure>(result) == connect_failure::kRefused
           ? exchange_error::kRefused
           : exchange_error::kConnectFailed);
}

void http_exchange::Cancel() {
  listener_ = nullptr;
  attempt_->Cancel();
  asio::error_code ignored;
  socket_.close(ignored);
}

void http_exchange::AwaitNextResponse() {
  ended_ = false;
}

void http_exchange::Send() {
  asio::async_write(socket_, asio::buffer(request_),
                    [self = shared_from_this()](const asio::error_code& error, std::size_t) {
                      // After a failed write, the pending read finds out what has arrived.
                      self->is_request_written_ = !error;
                      self->request_ = {};
                    });
}

void http_exchange::Read() {
  socket_.async_read_some(
      asio::buffer(buffer_),
      [self = shared_from_this()](const asio::error_code& error, std::size_t size) {
        if (self->listener_ == nullptr) {
          return;
        }
        if (error) {
          self->OnEnded(error == asio::error::eof);
          return;
        }
        self->Receive({self->buffer_.data(), size});
        if (self->listener_ != nullptr) {
          self->Read();
        }
      });
}

void http_exchange::Receive(std::string_view bytes) {
  if (path_ != endpoint_path::kChunkedTunnel) {
    Consume(bytes);
    return;
  }
  chunks_.Feed(bytes, [this](std::string_view payload) { Consume(payload); });
  if (chunks_.has_ended() && listener_ != nullptr) {
    OnEnded(/*is_orderly=*/true);
  }
}

void http_exchange::Consume(std::string_view bytes) {
  while (!bytes.empty() && listener_ != nullptr) {
    const std::size_t taken = reader_.Feed(bytes);
    if (listener_ == nullptr) {
      return;
    }
    if (reader_.error() != http::reader_error::kNone) {
      Fail(exchange_error::kMalformed);
      return;
    }
    bytes.remove_prefix(taken);
    if (ended_) {
      // Bytes after the response belong to no request.
      return;
    }
  }
}

void http_exchange::OnEnded(bool is_orderly) {
  if (!is_orderly) {
    attempt_->ReportReset();
  }
  if (CompletesResponse({.path = path_,
                         .is_orderly = is_orderly,
                         .is_stated = chunks_.has_ended(),
                         .is_request_written = is_request_written_})) {
    reader_.Finish();
  }
  if (listener_ != nullptr && !ended_) {
    Fail(exchange_error::kLost);
  }
}

void http_exchange::Fail(exchange_error error) {
  if (exchange_listener* const listener = listener_; listener != nullptr) {
    Cancel();
    listener->OnExchangeError(error);
  }
}

void http_exchange::OnHead(http::message_head head) {
  constexpr int kFirstFinalStatus = 200;
  informational_ = head.status < kFirstFinalStatus;
  if (!informational_ && listener_ != nullptr) {
    listener_->OnResponseHead(std::move(head));
  }
}

void http_exchange::OnBody(std::string_view bytes) {
  if (listener_ != nullptr) {
    listener_->OnResponseBody(bytes);
  }
}

void http_exchange::OnMessageEnd() {
  if (informational_ || listener_ == nullptr) {
    return;
  }
  ended_ = true;
  listener_->OnResponseEnd();
}

}  // namespace tarragon::gateway
