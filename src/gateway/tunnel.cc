#include "tarragon/gateway/tunnel.h"

#include <asio/buffer.hpp>
#include <asio/socket_base.hpp>
#include <asio/write.hpp>
#include <utility>

namespace tarragon::gateway {

tunnel::tunnel(asio::ip::tcp::socket daemon, asio::ip::tcp::socket endpoint)
    : daemon_(std::move(daemon)), endpoint_(std::move(endpoint)) {}

void tunnel::Start(std::function<void()> on_end) {
  on_end_ = std::move(on_end);
  Read(requests_);
  Read(responses_);
}

void tunnel::Close() {
  on_end_ = nullptr;
  asio::error_code ignored;
  daemon_.close(ignored);
  endpoint_.close(ignored);
}

void tunnel::Fail() {
  const auto on_end = std::exchange(on_end_, nullptr);
  Close();
  if (on_end) {
    on_end();
  }
}

void tunnel::Read(flow& passed) {
  passed.from.async_read_some(
      asio::buffer(passed.buffer),
      [self = shared_from_this(), &passed](const asio::error_code& error, std::size_t size) {
        if (self->on_end_ == nullptr) {
          return;
        }
        if (error) {
          self->OnEnd(passed, error == asio::error::eof);
        } else {
          self->Write(passed, size);
        }
      });
}

void tunnel::Write(flow& passed, std::size_t size) {
  asio::async_write(
      passed.to, asio::buffer(passed.buffer, size),
      [self = shared_from_this(), &passed](const asio::error_code& error, std::size_t) {
        if (self->on_end_ == nullptr) {
          return;
        }
        if (error) {
          self->OnEnd(passed, false);
        } else {
          self->Read(passed);
        }
      });
}

void tunnel::OnEnd(flow& passed, bool is_orderly) {
  asio::error_code ignored;
  if (&passed == &responses_ && is_orderly) {
    // The daemon closes its connection once it has read the response.
    daemon_.shutdown(asio::socket_base::shutdown_send, ignored);
    return;
  }
  if (&passed == &responses_) {
    daemon_.set_option(asio::socket_base::linger(true, 0), ignored);
  }
  // A daemon closes its connection only when it wants no response any more.
  Fail();
}

}  // namespace tarragon::gateway
