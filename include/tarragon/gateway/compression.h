#ifndef TARRAGON_GATEWAY_COMPRESSION_H_
#define TARRAGON_GATEWAY_COMPRESSION_H_

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace tarragon::gateway {

/** @return `text` in zlib's format, at the level that costs the least time. */
std::string Compress(std::string_view text);

/** @return empty if the bytes are not zlib's, or stand for more than `max_size` bytes. */
std::optional<std::string> Decompress(std::string_view bytes, std::size_t max_size);

}  // namespace tarragon::gateway

#endif  // TARRAGON_GATEWAY_COMPRESSION_H_
