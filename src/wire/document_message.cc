#include "tarragon/wire/document_message.h"

#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>
#include <exception>
#include <sstream>

#include "tarragon/base/hash.h"

namespace tarragon::wire {

template <typename Archive>
void serialize(Archive& archive, known_section& message) {
  archive(message.name, message.version);
}

template <typename Archive>
void serialize(Archive& archive, document_request& message) {
  archive(message.newer_than, message.known);
}

template <typename Archive>
void serialize(Archive& archive, wire_section& message) {
  archive(message.name, message.version, message.edit_id, message.author, message.text);
}

template <typename Archive>
void serialize(Archive& archive, document_response& message) {
  archive(message.version, message.sections, message.unchanged);
}

namespace {

constexpr std::size_t kHmacHexSize = 64;

template <typename T>
std::string EncodeMessage(const T& message, std::string_view key) {
  std::ostringstream stream;
  {
    cereal::PortableBinaryOutputArchive archive(stream);
    archive(message);
  }
  const std::string body = stream.str();
  const std::size_t length = kHmacHexSize + body.size();
  std::string frame;
  for (int shift = 24; shift >= 0; shift -= 8) {
    frame.push_back(static_cast<char>((length >> shift) & 0xffU));
  }
  return frame + HmacSha256Hex(key, body) + body;
}

// Checks the HMAC before decoding, because cereal allocates memory for sizes read from the body.
template <typename T>
std::optional<T> DecodeMessage(std::string_view frame, std::string_view key) {
  if (frame.size() < kHmacHexSize || frame.size() > kMaxDocumentFrame) {
    return std::nullopt;
  }
  const std::string_view body = frame.substr(kHmacHexSize);
  if (!ConstantTimeEquals(HmacSha256Hex(key, body), frame.substr(0, kHmacHexSize))) {
    return std::nullopt;
  }
  try {
    std::istringstream stream{std::string(body)};
    cereal::PortableBinaryInputArchive archive(stream);
    T message;
    archive(message);
    return message;
  } catch (const std::exception&) {  // cereal throws on truncated input.
    return std::nullopt;
  }
}

}  // namespace

std::string EncodeFrame(const document_request& message, std::string_view key) {
  return EncodeMessage(message, key);
}

std::string EncodeFrame(const document_response& message, std::string_view key) {
  return EncodeMessage(message, key);
}

std::optional<std::size_t> FrameLength(std::string_view header) {
  if (header.size() != kFrameHeaderSize) {
    return std::nullopt;
  }
  std::size_t length = 0;
  for (const char byte : header) {
    length = (length << 8U) | static_cast<unsigned char>(byte);
  }
  if (length < kHmacHexSize || length > kMaxDocumentFrame) {
    return std::nullopt;
  }
  return length;
}

std::optional<document_request> DecodeRequest(std::string_view frame, std::string_view key) {
  return DecodeMessage<document_request>(frame, key);
}

std::optional<document_response> DecodeResponse(std::string_view frame, std::string_view key) {
  return DecodeMessage<document_response>(frame, key);
}

}  // namespace tarragon::wire
