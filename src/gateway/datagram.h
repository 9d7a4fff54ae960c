#ifndef TARRAGON_SRC_GATEWAY_DATAGRAM_H_
#define TARRAGON_SRC_GATEWAY_DATAGRAM_H_

#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>
#include <cstddef>
#include <cstdint>
#include <exception>
#include <optional>
#include <sstream>
#include <string>
#include <string_view>
#include <utility>

#include "gateway/checksum.h"

namespace tarragon::gateway {

/** @return a message between daemons as one datagram. @param format differs by message format. */
template <typename T>
std::string EncodeDatagram(const T& message, std::uint64_t format) {
  std::ostringstream stream;
  {
    cereal::PortableBinaryOutputArchive archive(stream);
    archive(message);
  }
  const std::string payload = std::move(stream).str();
  return ChecksumOf(payload, format) + payload;
}

/** @return the message in a datagram, or empty if it is damaged or of another format. */
template <typename T>
std::optional<T> DecodeDatagram(std::string_view datagram, std::uint64_t format) {
  constexpr std::size_t kChecksumBytes = sizeof(std::uint64_t);
  // cereal allocates whatever size a damaged length field states, so the checksum is verified
  // first.
  if (datagram.size() < kChecksumBytes ||
      ChecksumOf(datagram.substr(kChecksumBytes), format) != datagram.substr(0, kChecksumBytes)) {
    return std::nullopt;
  }
  std::istringstream stream{std::string(datagram.substr(kChecksumBytes))};
  try {
    cereal::PortableBinaryInputArchive archive(stream);
    T message;
    archive(message);
    return message;
  } catch (const std::exception&) {
    // cereal reports a truncated datagram only by an exception.
    return std::nullopt;
  }
}

}  // namespace tarragon::gateway

#endif  // TARRAGON_SRC_GATEWAY_DATAGRAM_H_
