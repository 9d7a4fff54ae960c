#include "tarragon/gateway/tunnel_chunks.h"

#include <algorithm>

#include "tarragon/base/invariant.h"

namespace tarragon::gateway {

namespace {

constexpr unsigned kBitsPerByte = 8;

}  // namespace

tunnel_chunk_header MakeTunnelChunkHeader(std::size_t payload_bytes) {
  TARRAGON_INVARIANT(payload_bytes <= kMaxTunnelChunkPayload, "a tunnel's chunk is too long");
  return {static_cast<char>(payload_bytes), static_cast<char>(payload_bytes >> kBitsPerByte)};
}

void tunnel_chunk_reader::Feed(std::string_view bytes,
                               const std::function<void(std::string_view)>& on_payload) {
  while (!bytes.empty() && !has_ended_) {
    if (payload_left_ > 0) {
      const std::size_t size = std::min(payload_left_, bytes.size());
      payload_left_ -= size;
      on_payload(bytes.substr(0, size));
      bytes.remove_prefix(size);
      continue;
    }
    length_ |= static_cast<std::size_t>(static_cast<unsigned char>(bytes.front()))
               << (header_bytes_read_ * kBitsPerByte);
    bytes.remove_prefix(1);
    if (++header_bytes_read_ == kTunnelChunkHeaderBytes) {
      payload_left_ = length_;
      has_ended_ = length_ == 0;
      header_bytes_read_ = length_ = 0;
    }
  }
}

}  // namespace tarragon::gateway
