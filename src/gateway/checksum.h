#ifndef TARRAGON_SRC_GATEWAY_CHECKSUM_H_
#define TARRAGON_SRC_GATEWAY_CHECKSUM_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "tarragon/base/hash.h"

namespace tarragon::gateway {

/** @return the lowest `size` bytes of `value`, least significant first. */
inline std::string ToLittleEndian(std::uint64_t value, std::size_t size) {
  constexpr unsigned kBitsPerByte = 8;
  std::string bytes;
  for (std::size_t i = 0; i < size; ++i, value >>= kBitsPerByte) {
    bytes.push_back(static_cast<char>(value & 0xFF));
  }
  return bytes;
}

/** @return the checksum of a message between daemons. @param format differs by message format. */
inline std::string ChecksumOf(std::string_view payload, std::uint64_t format) {
  return ToLittleEndian(Hash64(payload, format), sizeof(std::uint64_t));
}

}  // namespace tarragon::gateway

#endif  // TARRAGON_SRC_GATEWAY_CHECKSUM_H_
