#ifndef TARRAGON_SRC_NET_PEER_ADDRESS_CONVERSION_H_
#define TARRAGON_SRC_NET_PEER_ADDRESS_CONVERSION_H_

#include <algorithm>
#include <asio.hpp>

#include "tarragon/wire/member_record.h"

namespace tarragon::net {

/** @return the address in the format of peer messages, with IPv4 mapped into IPv6. */
inline wire::peer_address ToPeerAddress(const asio::ip::address& ip, std::uint16_t port) {
  const asio::ip::address_v6 v6 =
      ip.is_v6() ? ip.to_v6() : asio::ip::make_address_v6(asio::ip::v4_mapped, ip.to_v4());
  wire::peer_address address;
  std::ranges::copy(v6.to_bytes(), address.ip.begin());
  address.port = port;
  return address;
}

inline asio::ip::address ToIp(const wire::peer_address& address) {
  asio::ip::address_v6::bytes_type bytes;
  std::ranges::copy(address.ip, bytes.begin());
  const asio::ip::address_v6 v6(bytes);
  if (v6.is_v4_mapped()) {
    return asio::ip::make_address_v4(asio::ip::v4_mapped, v6);
  }
  return v6;
}

}  // namespace tarragon::net

#endif  // TARRAGON_SRC_NET_PEER_ADDRESS_CONVERSION_H_
