#include "tarragon/gateway/tunnel.h"

#include <asio/buffer.hpp>
#include <asio/socket_base.hpp>
#include <asio/write.hpp>
#include <utility>

namespace tarragon::gateway {

tunnel::tunnel(asio::ip::tcp::socket daemon, asio::ip::tcp::socket endpoint, tunnel_framing framing)
    : daemon_(std::move(daemon)), endpoint_(std::move(endpoint)), framing_(framing) {}

void tunnel::Start(std::function<void()> on_end) {
  on_end_ = std::move(on_end);
  // The kernel closes the sockets of a killed process. With this option it resets the connection,
  // which a daemon of an earlier version cannot take for the end of the response.
  asio::error_code ignored;
  daemon_.set_option(asio::socket_base::linger(true, 0), ignored);
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
  const bool has_header = &passed == &responses_ && framing_ == tunnel_framing::kChunked;
  if (has_header) {
    chunk_header_ = MakeTunnelChunkHeader(size);
  }
  const std::array<asio::const_buffer, 2> buffers = {
      asio::buffer(chunk_header_, has_header ? chunk_header_.size() : 0),
      asio::buffer(passed.buffer, size)};
  passed.is_writing = true;
  asio::async_write(
      passed.to, buffers,
      [self = shared_from_this(), &passed](const asio::error_code& error, std::size_t) {
        passed.is_writing = false;
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
  if (&passed == &responses_ && is_orderly && !requests_.is_writing) {
    EndResponse();
    return;
  }
  // A daemon closes its connection only when it wants no response any more.
  Fail();
}

void tunnel::EndResponse() {
  if (framing_ == tunnel_framing::kPlain) {
    ShutDownResponse();
    return;
  }
  chunk_header_ = MakeTunnelChunkHeader(0);
  asio::async_write(daemon_, asio::buffer(chunk_header_),
                    [self = shared_from_this()](const asio::error_code& error, std::size_t) {
                      if (self->on_end_ != nullptr && !error) {
                        self->ShutDownResponse();
                      }
                    });
}

void tunnel::ShutDownResponse() {
  // The daemon closes its connection once it has read the response.
  asio::error_code ignored;
  daemon_.set_option(asio::socket_base::linger(false, 0), ignored);
  daemon_.shutdown(asio::socket_base::shutdown_send, ignored);
}

}  // namespace tarragon::gateway
