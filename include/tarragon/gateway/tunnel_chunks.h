#ifndef TARRAGON_GATEWAY_TUNNEL_CHUNKS_H_
#define TARRAGON_GATEWAY_TUNNEL_CHUNKS_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string_view>

namespace tarragon::gateway {

/** Bytes before the payload of each chunk: its length, little-endian. */
inline constexpr std::size_t kTunnelChunkHeaderBytes = 2;
inline constexpr std::size_t kMaxTunnelChunkPayload = 65535;

using tunnel_chunk_header = std::array<char, kTunnelChunkHeaderBytes>;

/**
 * @param payload_bytes `kMaxTunnelChunkPayload` at most; 0 in the last chunk, by which a daemon
 *     states that the endpoint has ended its bytes, and not the daemon itself.
 */
tunnel_chunk_header MakeTunnelChunkHeader(std::size_t payload_bytes);

/** Reads the chunks in which another daemon passes on the bytes of an endpoint. */
class tunnel_chunk_reader final {
 public:
  /**
   * Reads bytes as they arrive; those after the last chunk are ignored.
   * @param on_payload called for each run of the endpoint's bytes.
   */
  void Feed(std::string_view bytes, const std::function<void(std::string_view)>& on_payload);

  /** @return whether the last chunk has arrived. */
  bool has_ended() const { return has_ended_; }

 private:
  std::size_t header_bytes_read_ = 0;
  /** Length of the current chunk, as far as its header has been read. */
  std::size_t length_ = 0;
  /** Bytes of the current chunk that are still to come. */
  std::size_t payload_left_ = 0;
  bool has_ended_ = false;
};

}  // namespace tarragon::gateway

#endif  // TARRAGON_GATEWAY_TUNNEL_CHUNKS_H_
