#include "tarragon/gateway/socket_options.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <charconv>
#include <chrono>
#include <system_error>

namespace tarragon::gateway {

namespace {

/** A peer that answers no keepalive probe for about three seconds counts as dead. */
constexpr int kKeepAliveIdleSeconds = 1;
constexpr int kKeepAliveIntervalSeconds = 1;
constexpr int kKeepAliveProbes = 2;
/** Time for which sent bytes may stay unacknowledged before the connection is closed. */
constexpr std::chrono::milliseconds kUserTimeout{3000};

void SetOption(asio::ip::tcp::socket& socket, int level, int name, int value) {
  // If an option is not supported, a silent peer is only detected later.
  ::setsockopt(socket.native_handle(), level, name, &value, sizeof(value));
}

}  // namespace

std::optional<asio::ip::tcp::endpoint> ParseAddress(const std::string& address) {
  const std::size_t colon = address.rfind(':');
  if (colon == std::string::npos) {
    return std::nullopt;
  }
  asio::error_code error;
  const auto ip = asio::ip::make_address_v4(address.substr(0, colon), error);
  std::uint16_t port = 0;
  const char* const end = address.data() + address.size();
  const auto [last, code] = std::from_chars(address.data() + colon + 1, end, port);
  if (error || code != std::errc{} || last != end) {
    return std::nullopt;
  }
  return asio::ip::tcp::endpoint(ip, port);
}

void SetConnectionOptions(asio::ip::tcp::socket& socket) {
  SetOption(socket, IPPROTO_TCP, TCP_NODELAY, 1);
  SetOption(socket, SOL_SOCKET, SO_KEEPALIVE, 1);
  SetOption(socket, IPPROTO_TCP, TCP_KEEPIDLE, kKeepAliveIdleSeconds);
  SetOption(socket, IPPROTO_TCP, TCP_KEEPINTVL, kKeepAliveIntervalSeconds);
  SetOption(socket, IPPROTO_TCP, TCP_KEEPCNT, kKeepAliveProbes);
  SetOption(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, static_cast<int>(kUserTimeout.count()));
}

}  // namespace tarragon::gateway
