#ifndef TARRAGON_NET_PEER_ADDRESS_H_
#define TARRAGON_NET_PEER_ADDRESS_H_

#include <optional>
#include <string>
#include <string_view>

#include "tarragon/wire/member_record.h"

namespace tarragon::net {

/** @return empty if `ip` is not a numeric IPv4 or IPv6 address or the port is 0. */
std::optional<wire::peer_address> MakePeerAddress(const std::string& ip, std::uint16_t port);

/** Parses `ip:port` or `[ip]:port`. @return empty on anything else. */
std::optional<wire::peer_address> ParsePeerAddress(std::string_view text);

/** @return `ip:port` or `[ip]:port`. */
std::string ToString(const wire::peer_address& address);

}  // namespace tarragon::net

#endif  // TARRAGON_NET_PEER_ADDRESS_H_
