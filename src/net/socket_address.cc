#include "tarragon/net/socket_address.h"

#include <arpa/inet.h>
#include <fmt/format.h>

#include <array>
#include <charconv>

namespace tarragon::net {

namespace {

bool IsIp(const std::string& text, int family) {
  std::array<unsigned char, sizeof(in6_addr)> parsed{};
  return inet_pton(family, text.c_str(), parsed.data()) == 1;
}

}  // namespace

std::optional<socket_address> socket_address::Make(std::string_view text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) {
    return std::nullopt;
  }
  socket_address address;
  std::string_view ip = text.substr(0, colon);
  const bool bracketed = ip.size() > 2 && ip.front() == '[' && ip.back() == ']';
  address.ip = bracketed ? ip.substr(1, ip.size() - 2) : ip;
  if (!IsIp(address.ip, bracketed ? AF_INET6 : AF_INET)) {
    return std::nullopt;
  }
  const std::string_view port = text.substr(colon + 1);
  const auto parsed = std::from_chars(port.data(), port.data() + port.size(), address.port);
  if (parsed.ec != std::errc() || parsed.ptr != port.data() + port.size()) {
    return std::nullopt;
  }
  return address;
}

std::string socket_address::ToString() const {
  return ip.find(':') == std::string::npos ? fmt::format("{}:{}", ip, port)
                                           : fmt::format("[{}]:{}", ip, port);
}

}  // namespace tarragon::net
