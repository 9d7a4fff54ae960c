#ifndef TARRAGON_HTTP_RESPONSE_HEAD_GRAMMAR_H_
#define TARRAGON_HTTP_RESPONSE_HEAD_GRAMMAR_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>

namespace tarragon::http {

/**
 * Checks the bytes of a response's head against RFC 9112, 4 and 5, as they arrive. Parsers accept
 * more, such as blanks in the name of a header, bare line feeds or folded lines; bytes that only a
 * lenient reading makes a response come from an endpoint in trouble.
 */
class response_head_grammar final {
 public:
  /**
   * @param bytes the next bytes of the connection.
   * @return how many of them belong to the head; empty if the bytes so far begin no head, after
   *     which the result of further calls is undefined.
   */
  std::optional<std::size_t> Feed(std::string_view bytes);

  /** @return whether the empty line that ends the head has been fed. */
  bool is_complete() const { return state_ == state::kComplete; }

 private:
  enum class state : std::uint8_t {
    kStatusLine,
    kReason,
    kLineStart,
    kName,
    kValue,
    /** A CR has ended the status line or a header. */
    kLineEnd,
    /** A CR has begun the empty line. */
    kHeadEnd,
    kComplete,
  };

  bool FeedByte(char c);
  bool FeedStatusLine(char c);
  /** Reads text that ends with its line. */
  bool FeedText(char c);

  state state_ = state::kStatusLine;
  /** Bytes of the status line before the reason phrase that have been read. */
  std::size_t position_ = 0;
};

/** @return whether the character may stand in a token (RFC 9110, 5.6.2). */
bool IsTokenCharacter(char c);

/** @return whether the character may stand in the value of a header (RFC 9110, 5.5). */
bool IsFieldText(char c);

}  // namespace tarragon::http

#endif  // TARRAGON_HTTP_RESPONSE_HEAD_GRAMMAR_H_
