#include "tarragon/gateway/caller_connection.h"

#include <fmt/format.h>

#include <algorithm>
#include <asio/write.hpp>
#include <string>
#include <utility>

#include "tarragon/base/invariant.h"
#include "tarragon/gateway/request_admission.h"
#include "tarragon/gateway/socket_options.h"
#include "tarragon/http/reason_phrase.h"

namespace tarragon::gateway {

namespace {

constexpr int kBadRequest = 400;
constexpr int kRequestTimeout = 408;
constexpr int kBodyTooLarge = 413;
constexpr int kHeaderTooLarge = 431;
constexpr int kUnavailable = 503;
constexpr int kNoContent = 204;
constexpr int kNotModified = 304;

/** Time added to the configured idle timeout, so that callers close idle connections first. */
constexpr std::chrono::milliseconds kIdleMargin{500};

/** Pause between two reads of a connection that holds much while memory is scarce. */
constexpr std::chrono::milliseconds kScarceReadInterval{20};
/** Capacity that a buffer keeps while it is empty. */
constexpr std::size_t kKeptBytes = std::size_t{16} << 10;

/** Callers on slow links send bodies of some KB within seconds. */
constexpr std::size_t kMinBodyBytesPerSecond = 500;

void Release(std::string& buffer) {
  buffer.clear();
  if (buffer.capacity() > kKeptBytes) {
    buffer = {};
  }
}

}  // namespace

caller_connection::caller_connection(gateway_state& gateway, asio::ip::tcp::socket socket)
    : gateway_(gateway),
      socket_(std::move(socket)),
      timer_(gateway.loop),
      account_(gateway.OpenAccount(*this)),
      limits_(gateway.config ? gateway.config->limits() : routing::caller_limits{}),
      reader_(http::message_kind::kRequest,
              *this,
              limits_.max_header_bytes,
              gateway.max_header_lines) {}

caller_connection::~caller_connection() {
  if (handler_) {
    handler_->OnCallerGone();
  }
  closed_ = true;
  gateway_.CloseAccount(account_);
  CountUnsent();
  UpdateUpload();
}

void caller_connection::Start() {
  SetConnectionOptions(socket_);
  last_activity_ = message_start_ = gateway_.time.Now();
  ArmTimer();
  Read();
}

void caller_connection::Read() {
  if (reading_ || closed_) {
    return;
  }
  if (pending_.size() > kMaxPendingBytes) {
    // Without a pending read nothing else owns the connection.
    paused_self_ = shared_from_this();
    return;
  }
  paused_self_.reset();
  reading_ = true;
  if (gateway_.memory.MayRead(account_)) {
    ReadSome();
    return;
  }
  auto pause = std::make_shared<asio::steady_timer>(gateway_.loop, kScarceReadInterval);
  pause->async_wait([self = shared_from_this(), pause](const asio::error_code&) {
    if (!self->closed_) {
      self->ReadSome();
    }
  });
}

void caller_connection::ReadSome() {
  socket_.async_read_some(
      asio::buffer(buffer_),
      [self = shared_from_this()](const asio::error_code& error, std::size_t size) {
        self->reading_ = false;
        if (self->closed_) {
          return;
        }
        if (error) {
          self->OnPeerClosed();
          return;
        }
        self->last_activity_ = self->gateway_.time.Now();
        self->pending_.append(self->buffer_.data(), size);
        self->Consume();
        self->UpdateMemory();
        self->Read();
      });
}

void caller_connection::Consume() {
  if (consuming_) {
    return;
  }
  consuming_ = true;
  while (!handler_ && !closed_ && !close_after_write_ && !pending_.empty()) {
    if (!reader_.is_inside_message()) {
      message_start_ = last_activity_;
    }
    const std::size_t consumed = reader_.Feed(pending_);
    pending_.erase(0, consumed);
    if (reader_.error() != http::reader_error::kNone) {
      RejectUnreadable();
    }
  }
  consuming_ = false;
  if (pending_.empty()) {
    Release(pending_);
  }
  UpdateUpload();
}

void caller_connection::UpdateUpload() {
  const bool is_uploading =
      !closed_ && !handler_ && !close_after_write_ && reader_.is_inside_message();
  if (gateway_.uploads.Update(*this, is_uploading) && gateway_.on_work_done) {
    gateway_.on_work_done();
  }
}

void caller_connection::RefuseUpload() {
  request_ = {};
  pending_ = {};
  RejectRequest(kUnavailable, "draining", kDrainingRetryAfter);
}

void caller_connection::RejectUnreadable() {
  switch (reader_.error()) {
    case http::reader_error::kHeaderTooLarge:
      RejectRequest(kHeaderTooLarge, "header_bytes");
      return;
    case http::reader_error::kTooManyHeaders:
      RejectRequest(kHeaderTooLarge, "header_lines");
      return;
    case http::reader_error::kMalformed:
    case http::reader_error::kNone:
      RejectRequest(kBadRequest, "malformed");
      return;
  }
}

void caller_connection::UpdateMemory() {
  if (closed_) {
    return;
  }
  held_memory held;
  held.reading =
      reader_.held_bytes() + request_.head.headers.held_bytes() + request_.body.capacity();
  if (handler_) {
    held.serving = serving_bytes_ + pending_.capacity();
  } else {
    held.reading += pending_.capacity();
  }
  if (!unsent_.empty() || !writing_.empty()) {
    held.unread = unsent_.capacity() + writing_.capacity();
  }
  gateway_.UpdateAccount(account_, held);
}

void caller_connection::GiveWay() {
  const auto self = shared_from_this();
  if (closed_) {
    return;
  }
  const bool has_unread = !unsent_.empty() || !writing_.empty();
  if (handler_ && !has_unread) {
    return;
  }
  if (has_unread) {
    const auto handler = std::exchange(handler_, nullptr);
    Close(/*reset=*/true);
    if (handler) {
      handler->OnCallerGone();
    }
  } else if (reader_.is_inside_message()) {
    request_ = {};
    pending_ = {};
    RejectRequest(kUnavailable, "memory");
  } else {
    Close(/*reset=*/false);
  }
}

void caller_connection::OnHead(http::message_head head) {
  head_read_ = true;
  body_too_large_ = false;
  keep_alive_ = head.keep_alive;
  chunked_response_ = head.is_http_1_1_or_later;
  omits_body_ = head.method == "HEAD";
  if (head.headers.HasToken("Expect", "100-continue")) {
    Write("HTTP/1.1 100 Continue\r\n\r\n");
  }
  request_ = {std::move(head), {}, message_start_};
}

void caller_connection::OnBody(std::string_view bytes) {
  if (request_.body.size() + bytes.size() > limits_.max_body_bytes) {
    body_too_large_ = true;
    return;
  }
  request_.body.append(bytes);
}

void caller_connection::OnMessageEnd() {
  head_read_ = false;
  if (body_too_large_) {
    RejectRequest(kBodyTooLarge, "body_bytes");
    return;
  }
  StartRequest();
}

void caller_connection::StartRequest() {
  constexpr std::size_t kCopies = 2;
  serving_bytes_ = kCopies * (request_.head.headers.held_bytes() + request_.body.capacity()) +
                   sizeof(request_handler);
  handler_ = std::make_shared<request_handler>(gateway_, std::move(request_), *this);
  request_ = {};
  UpdateMemory();
  const auto handler = handler_;
  handler->Start();
}

void caller_connection::RejectRequest(int status,
                                      std::string_view reason,
                                      std::chrono::milliseconds retry_after) {
  TARRAGON_INVARIANT(!handler_, "a request that has been started was rejected as unread");
  gateway_.counters
      .Counter("tarragon_gateway_rejected_requests_total", fmt::format("reason=\"{}\"", reason))
      .Add();
  keep_alive_ = false;
  close_after_write_ = true;
  http::header_list headers;
  if (status == kUnavailable) {
    const double seconds = std::chrono::duration<double>(retry_after).count();
    headers.Add(gateway_.adapter.names().retry_after, fmt::format("{:.3f}", seconds));
  }
  gateway_.log.LogRequest("request_rejected", {{"status", status}, {"reason", reason}});
  SendResponse(status, std::move(headers), {});
  UpdateUpload();
}

bool caller_connection::WillClose() const {
  return !keep_alive_ || gateway_.draining;
}

std::string caller_connection::FormatHead(int status,
                                          http::header_list& headers,
                                          std::string_view framing) const {
  std::string text = fmt::format("HTTP/1.1 {} {}\r\n", status, http::ReasonPhrase(status));
  headers.AppendTo(text);
  text += framing;
  if (WillClose() || !chunked_response_) {
    text += "Connection: close\r\n";
  }
  text += "\r\n";
  return text;
}

void caller_connection::SendResponse(int status, http::header_list headers, std::string_view body) {
  // A response to HEAD may state the length of the body that GET would get, or none.
  const bool has_unknown_length = omits_body_ && body.empty();
  const bool has_length = status != kNoContent && status != kNotModified && !has_unknown_length;
  const std::string framing =
      has_length ? fmt::format("Content-Length: {}\r\n", body.size()) : std::string();
  close_after_write_ = close_after_write_ || WillClose();
  std::string text = FormatHead(status, headers, framing);
  if (!omits_body_) {
    text += body;
  }
  Write(text);
  OnResponseDone();
}

void caller_connection::BeginStream(int status, http::header_list headers) {
  const std::string_view framing = chunked_response_ ? "Transfer-Encoding: chunked\r\n" : "";
  close_after_write_ = WillClose() || !chunked_response_;
  if (!chunked_response_) {
    ends_with_connection_ = true;
    SetResetsOnClose(true);
  }
  Write(FormatHead(status, headers, framing));
}

void caller_connection::SendStreamBytes(std::string_view bytes) {
  if (omits_body_) {
    return;
  }
  if (!chunked_response_) {
    Write(bytes);
    return;
  }
  std::string chunk = fmt::format("{:x}\r\n", bytes.size());
  chunk += bytes;
  chunk += "\r\n";
  Write(chunk);
}

void caller_connection::EndStream() {
  ends_with_connection_ = false;
  if (chunked_response_ && !omits_body_) {
    Write("0\r\n\r\n");
  }
  close_after_write_ = close_after_write_ || gateway_.draining;
  OnResponseDone();
}

void caller_connection::AbortResponse() {
  handler_.reset();
  // A reset marks the response as incomplete, whatever its framing.
  Close(/*reset=*/true);
}

void caller_connection::OnResponseDone() {
  handler_.reset();
  last_activity_ = gateway_.time.Now();
  UpdateMemory();
  if (close_after_write_ || closed_) {
    Flush();
    return;
  }
  if (!pending_.empty()) {
    asio::post(socket_.get_executor(), [self = shared_from_this()] {
      self->Consume();
      self->Read();
    });
  }
}

void caller_connection::Write(std::string_view bytes) {
  if (closed_) {
    return;
  }
  unsent_.append(bytes);
  if (unsent_.size() > kMaxUnsentBytes) {
    const auto handler = std::exchange(handler_, nullptr);
    Close(/*reset=*/true);
    if (handler) {
      handler->OnCallerGone();
    }
    return;
  }
  Flush();
  UpdateMemory();
}

void caller_connection::Flush() {
  CountUnsent();
  if (closed_ || !writing_.empty()) {
    return;
  }
  if (unsent_.empty()) {
    if (close_after_write_ && !handler_) {
      Close(/*reset=*/false);
    }
    return;
  }
  writing_.swap(unsent_);
  asio::async_write(socket_, asio::buffer(writing_),
                    [self = shared_from_this()](const asio::error_code& error, std::size_t) {
                      Release(self->writing_);
                      if (self->closed_) {
                        return;
                      }
                      if (error) {
                        self->OnPeerClosed();
                        return;
                      }
                      self->Flush();
                      self->UpdateMemory();
                    });
}

void caller_connection::CountUnsent() {
  const bool has_unsent = !closed_ && (!unsent_.empty() || !writing_.empty());
  if (std::exchange(counted_as_unsent_, has_unsent) == has_unsent) {
    return;
  }
  gateway_.unsent_connections += has_unsent ? 1 : -1;
  if (!has_unsent && gateway_.on_work_done) {
    gateway_.on_work_done();
  }
}

void caller_connection::OnPeerClosed() {
  if (closed_) {
    return;
  }
  const auto handler = std::exchange(handler_, nullptr);
  Close(/*reset=*/false);
  if (handler) {
    handler->OnCallerGone();
  }
}

void caller_connection::SetResetsOnClose(bool resets) {
  if (std::exchange(resets_on_close_, resets) != resets) {
    asio::error_code ignored;
    socket_.set_option(asio::socket_base::linger(resets, 0), ignored);
  }
}

void caller_connection::Close(bool reset) {
  if (std::exchange(closed_, true)) {
    return;
  }
  CountUnsent();
  UpdateUpload();
  gateway_.CloseAccount(account_);
  timer_.cancel();
  if (paused_self_) {
    // The caller of this method may still use the connection.
    asio::post(socket_.get_executor(), [self = std::exchange(paused_self_, nullptr)] {});
  }
  asio::error_code ignored;
  if (reset || ends_with_connection_) {
    SetResetsOnClose(true);
  } else {
    SetResetsOnClose(false);
    socket_.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
  }
  socket_.close(ignored);
}

time_point caller_connection::NextTimeout() const {
  if (handler_) {
    return time_point::max();
  }
  const bool in_head = reader_.is_inside_message() && !head_read_;
  if (in_head) {
    return message_start_ + limits_.header_timeout;
  }
  const time_point idle_end = last_activity_ + limits_.idle_timeout + kIdleMargin;
  if (!reader_.is_inside_message()) {
    return idle_end;
  }
  // A body may be slow, but not one byte now and then for ever.
  const auto body_time = std::chrono::seconds(request_.body.size() / kMinBodyBytesPerSecond);
  return std::min(idle_end,
                  message_start_ + limits_.header_timeout + limits_.idle_timeout + body_time);
}

void caller_connection::ArmTimer() {
  const duration wait = std::clamp<duration>(NextTimeout() - gateway_.time.Now(),
                                             std::chrono::milliseconds(1), limits_.header_timeout);
  timer_.expires_after(wait);
  timer_.async_wait([self = weak_from_this()](const asio::error_code& error) {
    if (const auto connection = self.lock(); connection && !error) {
      connection->OnTimer();
    }
  });
}

void caller_connection::OnTimer() {
  if (closed_) {
    return;
  }
  if (gateway_.time.Now() >= NextTimeout()) {
    if (reader_.is_inside_message()) {
      RejectRequest(kRequestTimeout, "timeout");
    } else {
      Close(/*reset=*/false);
    }
    return;
  }
  ArmTimer();
}

}  // namespace tarragon::gateway
