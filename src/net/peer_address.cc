#include "tarragon/net/peer_address.h"

#include <fmt/format.h>

#include <charconv>

#include "peer_address_conversion.h"

namespace tarragon::net {

std::optional<wire::peer_address> MakePeerAddress(const std::string& ip, std::uint16_t port) {
  asio::error_code error;
  const asio::ip::address address = asio::ip::make_address(ip, error);
  if (error || port == 0) {
    return std::nullopt;
  }
  return ToPeerAddress(address, port);
}

std::optional<wire::peer_address> ParsePeerAddress(std::string_view text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) {
    return std::nullopt;
  }
  std::string_view ip = text.substr(0, colon);
  if (ip.size() > 2 && ip.front() == '[' && ip.back() == ']') {
    ip = ip.substr(1, ip.size() - 2);
  }
  std::uint16_t port = 0;
  const char* end = text.data() + text.size();
  const auto [parsed_end, error] = std::from_chars(text.data() + colon + 1, end, port);
  if (error != std::errc() || parsed_end != end) {
    return std::nullopt;
  }
  return MakePeerAddress(std::string(ip), port);
}

std::string ToString(const wire::peer_address& address) {
  const asio::ip::address ip = ToIp(address);
  return ip.is_v6() ? fmt::format("[{}]:{}", ip.to_string(), address.port)
                    : fmt::format("{}:{}", ip.to_string(), address.port);
}

}  // namespace tarragon::net
