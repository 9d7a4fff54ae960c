#include "tarragon/gateway/relay_message.h"

#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/variant.hpp>
#include <cereal/types/vector.hpp>
#include <exception>
#include <optional>
#include <sstream>
#include <utility>

#include "gateway/checksum.h"
#include "gateway/load_serialization.h"
#include "gateway/version_serialization.h"
#include "tarragon/gateway/compression.h"

namespace tarragon::gateway {

template <class Archive>
void serialize(Archive& archive, table_row& row) {
  archive(row.key, row.value, row.version, row.deleted);
}

template <class Archive>
void serialize(Archive& archive, table_update& update) {
  std::int64_t store_time = update.position.store_time.count();
  archive(update.base_version, update.position.version, store_time, update.rows);
  update.position.store_time = std::chrono::milliseconds(store_time);
}

template <class Archive>
void serialize(Archive& archive, relay_update& message) {
  archive(message.table, message.store_lost, message.update);
}

template <class Archive>
void serialize(Archive& archive, relay_subscription& message) {
  archive(message.vm, message.kind, message.versions);
}

template <class Archive>
void serialize(Archive& archive, relay_loads& message) {
  archive(message.changes);
}

template <class Archive>
void serialize(Archive& archive, tunnel_request& message) {
  archive(message.endpoint_id);
}

namespace {

/** Checksum seed; must change with the message format. */
constexpr std::uint64_t kFormat = 0x74676c77;
constexpr std::size_t kLengthBytes = 4;
/** In the length field: the payload is compressed. */
constexpr std::size_t kCompressed = std::size_t{1} << 31U;
/** Smaller payloads gain less than their compression costs. */
constexpr std::size_t kMinCompressedPayload = 1024;

std::string Checksum(std::string_view payload, bool is_compressed) {
  return ChecksumOf(payload, is_compressed ? kFormat + 1 : kFormat);
}

std::size_t ReadLength(std::string_view bytes) {
  constexpr unsigned kBitsPerByte = 8;
  std::size_t length = 0;
  for (std::size_t i = 0; i < kLengthBytes; ++i) {
    length |= static_cast<std::size_t>(static_cast<unsigned char>(bytes[i])) << (i * kBitsPerByte);
  }
  return length;
}

std::optional<relay_message> DecodePayload(std::string payload) {
  std::istringstream stream{std::move(payload)};
  try {
    cereal::PortableBinaryInputArchive archive(stream);
    relay_message message;
    archive(message);
    if (auto* const request = std::get_if<tunnel_request>(&message);
        request != nullptr && stream.peek() != std::istringstream::traits_type::eof()) {
      archive(request->accepts_chunks);
    }
    return message;
  } catch (const std::exception&) {
    // cereal reports a truncated message only by an exception.
    return std::nullopt;
  }
}

}  // namespace

std::string EncodeFrame(const relay_message& message) {
  std::ostringstream stream;
  {
    cereal::PortableBinaryOutputArchive archive(stream);
    archive(message);
    if (const auto* const request = std::get_if<tunnel_request>(&message);
        request != nullptr && request->accepts_chunks) {
      archive(request->accepts_chunks);
    }
  }
  std::string payload = std::move(stream).str();
  const bool is_compressed = payload.size() >= kMinCompressedPayload;
  if (is_compressed) {
    payload = Compress(payload);
  }
  return ToLittleEndian(payload.size() | (is_compressed ? kCompressed : 0), kLengthBytes) +
         Checksum(payload, is_compressed) + payload;
}

bool relay_frame_reader::Feed(std::string_view bytes, std::vector<relay_message>& messages) {
  buffer_.append(bytes);
  std::string_view rest = buffer_;
  bool valid = true;
  while (valid && rest.size() >= kFrameHeaderBytes) {
    const std::size_t stated = ReadLength(rest);
    const bool is_compressed = (stated & kCompressed) != 0;
    const std::size_t length = stated & ~kCompressed;
    if (length > kMaxFramePayload) {
      valid = false;
      break;
    }
    if (rest.size() < kFrameHeaderBytes + length) {
      break;
    }
    const std::string_view payload = rest.substr(kFrameHeaderBytes, length);
    // cereal allocates whatever size a damaged length field states, so the checksum comes first.
    std::optional<relay_message> message;
    if (rest.substr(kLengthBytes, kFrameHeaderBytes - kLengthBytes) ==
        Checksum(payload, is_compressed)) {
      std::optional<std::string> text = is_compressed ? Decompress(payload, kMaxFramePayload)
                                                      : std::optional(std::string(payload));
      message = text ? DecodePayload(*std::move(text)) : std::nullopt;
    }
    valid = message.has_value();
    if (valid) {
      messages.push_back(*std::move(message));
      rest.remove_prefix(kFrameHeaderBytes + length);
    }
  }
  buffer_ = std::string(rest);
  return valid;
}

}  // namespace tarragon::gateway
