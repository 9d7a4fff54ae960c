#ifndef TARRAGON_GATEWAY_SOCKET_OPTIONS_H_
#define TARRAGON_GATEWAY_SOCKET_OPTIONS_H_

#include <asio/ip/tcp.hpp>
#include <optional>
#include <string>

namespace tarragon::gateway {

/** @param address `ip:port`, IPv4. @return empty if the address is invalid. */
std::optional<asio::ip::tcp::endpoint> ParseAddress(const std::string& address);

/**
 * Disables Nagle's algorithm, and enables the keepalive probes and the user timeout that close a
 * connection whose peer has gone silent.
 */
void SetConnectionOptions(asio::ip::tcp::socket& socket);

}  // namespace tarragon::gateway

#endif  // TARRAGON_GATEWAY_SOCKET_OPTIONS_H_
