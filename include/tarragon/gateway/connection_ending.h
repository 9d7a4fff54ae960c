#ifndef TARRAGON_GATEWAY_CONNECTION_ENDING_H_
#define TARRAGON_GATEWAY_CONNECTION_ENDING_H_

#include <cstdint>

namespace tarragon::gateway {

/** How the bytes of an endpoint reach this daemon. */
enum class endpoint_path : std::uint8_t {
  kDirect,
  /** Through another daemon, which states when the endpoint has ended its bytes. */
  kChunkedTunnel,
  /** Through a daemon of an earlier version, whose own end looks like the endpoint's. */
  kPlainTunnel,
};

/** What this daemon knows when no more bytes of a response can come. */
struct connection_ending {
  endpoint_path path = endpoint_path::kDirect;
  /** The connection was closed without an error; a killed process closes its sockets like that. */
  bool is_orderly = false;
  /** The other daemon has stated that the endpoint has ended its bytes. */
  bool is_stated = false;
  /** All bytes of the request have been written without an error. */
  bool is_request_written = false;
};

/**
 * Decides for all readers of responses whether the end of the connection is the end that the
 * endpoint gave to its response. Concerns only responses that do not state where they end.
 */
bool CompletesResponse(const connection_ending& ending);

}  // namespace tarragon::gateway

#endif  // TARRAGON_GATEWAY_CONNECTION_ENDING_H_
