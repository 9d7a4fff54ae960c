#include "tarragon/gateway/tunnel_status.h"

namespace tarragon::gateway {

std::optional<tunnel_status> ReadTunnelStatus(char byte) {
  const auto status = static_cast<tunnel_status>(byte);
  switch (status) {
    case tunnel_status::kOpen:
    case tunnel_status::kOpenChunked:
    case tunnel_status::kUnreachable:
    case tunnel_status::kNoPath:
    case tunnel_status::kUnknownEndpoint:
    case tunnel_status::kBusy:
      return status;
  }
  return std::nullopt;
}

std::string_view ToString(tunnel_status status) {
  switch (status) {
    case tunnel_status::kOpen:
      return "open";
    case tunnel_status::kOpenChunked:
      return "open_chunked";
    case tunnel_status::kUnreachable:
      return "unreachable";
    case tunnel_status::kNoPath:
      return "no_path";
    case tunnel_status::kUnknownEndpoint:
      return "unknown_endpoint";
    case tunnel_status::kBusy:
      return "busy";
  }
  return "unknown";
}

}  // namespace tarragon::gateway
