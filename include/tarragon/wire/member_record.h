#ifndef TARRAGON_WIRE_MEMBER_RECORD_H_
#define TARRAGON_WIRE_MEMBER_RECORD_H_

#include <array>
#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace tarragon::wire {

/** Text in a fixed number of bytes; longer text is truncated. */
template <std::size_t Size>
struct fixed_text {
  std::array<char, Size> bytes{};

  static fixed_text From(std::string_view text) {
    fixed_text result;
    text.copy(result.bytes.data(), Size);
    return result;
  }
  std::string Text() const {
    const std::string_view all(bytes.data(), Size);
    return std::string(all.substr(0, all.find('\0')));
  }
  bool operator==(const fixed_text&) const = default;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(bytes);
  }
};

/** Maximum length of a VM name in messages, in bytes. */
inline constexpr std::size_t kMaxMemberName = 24;
using member_name = fixed_text<kMaxMemberName>;

/** IP address (IPv4 mapped into IPv6) and port. */
struct peer_address {
  std::array<std::uint8_t, 16> ip{};
  std::uint16_t port = 0;
  auto operator<=>(const peer_address&) const = default;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(ip, port);
  }
};

enum class member_state : std::uint8_t { kAlive, kSuspect, kDead, kLeft };

/** @return `alive`, `suspect`, `dead` or `left`. */
std::string_view ToString(member_state state);

/** State of a member, as that member or another one reports it. */
struct member_record {
  member_name name;
  peer_address gossip;
  /** TCP port of the document exchange at the same IP address. */
  std::uint16_t document_port = 0;
  std::uint64_t incarnation = 0;
  member_state state = member_state::kAlive;
  /** Hash of the name of the member that reported the suspicion or death; 0 if none did. */
  std::uint32_t reporter_hash = 0;
  /** Last known document version of the member. */
  std::uint32_t document_version = 0;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(name, gossip, document_port, incarnation, state, reporter_hash, document_version);
  }
};

}  // namespace tarragon::wire

#endif  // TARRAGON_WIRE_MEMBER_RECORD_H_
