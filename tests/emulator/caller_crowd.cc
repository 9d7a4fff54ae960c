#include "emulator/caller_crowd.h"

#include <algorithm>
#include <asio/write.hpp>
#include <utility>

#include "tarragon/gateway/socket_options.h"

namespace tarragon::emulator {

caller_crowd::caller_crowd(asio::io_context& loop, std::string address, std::size_t size)
    : loop_(loop), address_(std::move(address)) {
  std::ranges::generate_n(std::back_inserter(sockets_), static_cast<std::ptrdiff_t>(size),
                          [&] { return std::make_shared<asio::ip::tcp::socket>(loop_); });
}

void caller_crowd::Send(const std::string& bytes) {
  const auto sent = std::make_shared<const std::string>(bytes);
  pending_ = sockets_.size();
  for (const auto& socket : sockets_) {
    socket->async_connect(*gateway::ParseAddress(address_), [this, socket,
                                                             sent](const asio::error_code& error) {
      if (error) {
        --pending_;
        return;
      }
      asio::async_write(*socket, asio::buffer(*sent),
                        [this, socket, sent](const asio::error_code&, std::size_t) { --pending_; });
    });
  }
}

void caller_crowd::Leave() {
  asio::error_code ignored;
  std::ranges::for_each(sockets_, [&](const auto& socket) { socket->close(ignored); });
}

}  // namespace tarragon::emulator
