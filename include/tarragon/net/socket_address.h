#ifndef TARRAGON_NET_SOCKET_ADDRESS_H_
#define TARRAGON_NET_SOCKET_ADDRESS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace tarragon::net {

/** IP address and port, such as `127.0.0.1:8080` or `[::1]:8080`. */
struct socket_address {
  std::string ip;
  std::uint16_t port = 0;

  /** @return empty unless `text` is a numeric IP address and a port from 0 to 65535. */
  static std::optional<socket_address> Make(std::string_view text);

  std::string ToString() const;

  bool operator==(const socket_address&) const = default;
};

}  // namespace tarragon::net

#endif  // TARRAGON_NET_SOCKET_ADDRESS_H_
