#ifndef TARRAGON_HTTP_CHUNK_GRAMMAR_H_
#define TARRAGON_HTTP_CHUNK_GRAMMAR_H_

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace tarragon::http {

/**
 * Checks the framing of a chunked body against RFC 9112, 7.1, as its bytes arrive. The parser does
 * not look at the bytes where the line end after a chunk's data is due.
 */
class chunk_grammar final {
 public:
  /**
   * @param bytes the next bytes; those after the body are ignored.
   * @return how many of them come before the first one that cannot stand in a chunked body; after
   *     such a byte, the result of further calls is undefined.
   */
  std::size_t Feed(std::string_view bytes);

 private:
  enum class state : std::uint8_t {
    kSize,
    kExtension,
    /** A CR has ended the line with the size. */
    kSizeEnd,
    kData,
    kDataEnd,
    kDataLineFeed,
    kTrailerStart,
    kTrailerName,
    kTrailerValue,
    kTrailerEnd,
    kBodyEnd,
    kComplete,
  };

  /** Sizes of more hexadecimal digits do not fit into the parser's counter. */
  static constexpr std::size_t kMaxSizeDigits = 15;

  bool FeedByte(char c);
  bool FeedSize(char c);
  bool FeedTrailer(char c);
  /** Skips data of the current chunk. @return number of bytes skipped. */
  std::size_t SkipData(std::string_view bytes);

  state state_ = state::kSize;
  std::size_t size_digits_ = 0;
  std::uint64_t data_left_ = 0;
};

}  // namespace tarragon::http

#endif  // TARRAGON_HTTP_CHUNK_GRAMMAR_H_
