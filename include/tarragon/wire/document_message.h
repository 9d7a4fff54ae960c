#ifndef TARRAGON_WIRE_DOCUMENT_MESSAGE_H_
#define TARRAGON_WIRE_DOCUMENT_MESSAGE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace tarragon::wire {

/** Maximum frame of the document exchange: 16 times a document of 5,200 endpoints (1 MB). */
inline constexpr std::size_t kMaxDocumentFrame = std::size_t{16} << 20;
inline constexpr std::size_t kFrameHeaderSize = 4;

/** Name and version of a section that the requesting process already has. */
struct known_section {
  std::string name;
  std::uint64_t version = 0;
};

struct document_request {
  /** The response is empty unless the peer has a later document version. */
  std::uint64_t newer_than = 0;
  /** Sections that the peer omits from the response if their version has not changed. */
  std::vector<known_section> known;
};

struct wire_section {
  std::string name;
  std::uint64_t version = 0;
  std::string edit_id;
  std::string author;
  std::string text;
};

struct document_response {
  /** 0 if the peer has no newer document. */
  std::uint64_t version = 0;
  /** Sections that `document_request::known` does not list at the same version. */
  std::vector<wire_section> sections;
  /** Names of the sections that the requesting process already has at the same version. */
  std::vector<std::string> unchanged;
};

/** @return a frame: length of the rest (4 bytes, big-endian), HMAC under `key`, encoded message. */
std::string EncodeFrame(const document_request& message, std::string_view key);
std::string EncodeFrame(const document_response& message, std::string_view key);

/** @return length of the rest of the frame; empty if the length is out of bounds. */
std::optional<std::size_t> FrameLength(std::string_view header);

/** Decodes a frame without its length field. @return empty if the frame is invalid under `key`. */
std::optional<document_request> DecodeRequest(std::string_view frame, std::string_view key);
std::optional<document_response> DecodeResponse(std::string_view frame, std::string_view key);

}  // namespace tarragon::wire

#endif  // TARRAGON_WIRE_DOCUMENT_MESSAGE_H_
