#ifndef TARRAGON_GATEWAY_TUNNEL_STATUS_H_
#define TARRAGON_GATEWAY_TUNNEL_STATUS_H_

#include <cstdint>
#include <optional>
#include <string_view>

namespace tarragon::gateway {

/** First byte that a daemon sends on a connection that asks it for a tunnel to an endpoint. */
enum class tunnel_status : std::uint8_t {
  /** All further bytes are the endpoint's. */
  kOpen = 'o',
  /** All further bytes are the endpoint's, in chunks; see `tunnel_chunks`. */
  kOpenChunked = 'c',
  /** The endpoint cannot be reached. */
  kUnreachable = 'u',
  /** The daemon is cut off from all endpoints. */
  kNoPath = 'p',
  /** The daemon does not list the endpoint. */
  kUnknownEndpoint = 'e',
  /** The daemon has no capacity for another tunnel, or is about to exit. */
  kBusy = 'b',
};

/** @return empty if the byte is none of the statuses. */
std::optional<tunnel_status> ReadTunnelStatus(char byte);

std::string_view ToString(tunnel_status status);

}  // namespace tarragon::gateway

#endif  // TARRAGON_GATEWAY_TUNNEL_STATUS_H_
