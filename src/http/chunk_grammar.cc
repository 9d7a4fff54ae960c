#include "tarragon/http/chunk_grammar.h"

#include <algorithm>
#include <optional>

#include "tarragon/http/response_head_grammar.h"

namespace tarragon::http {

namespace {

std::optional<unsigned> HexDigit(char c) {
  constexpr unsigned kFirstLetter = 10;
  if (c >= '0' && c <= '9') {
    return static_cast<unsigned>(c - '0');
  }
  if (c >= 'a' && c <= 'f') {
    return static_cast<unsigned>(c - 'a') + kFirstLetter;
  }
  if (c >= 'A' && c <= 'F') {
    return static_cast<unsigned>(c - 'A') + kFirstLetter;
  }
  return std::nullopt;
}

}  // namespace

std::size_t chunk_grammar::Feed(std::string_view bytes) {
  std::string_view rest = bytes;
  while (!rest.empty() && state_ != state::kComplete) {
    const std::size_t skipped = SkipData(rest);
    if (skipped == 0 && !FeedByte(rest.front())) {
      return bytes.size() - rest.size();
    }
    rest.remove_prefix(std::max<std::size_t>(skipped, 1));
  }
  return bytes.size();
}

std::size_t chunk_grammar::SkipData(std::string_view bytes) {
  if (state_ != state::kData) {
    return 0;
  }
  const auto skipped = static_cast<std::size_t>(std::min<std::uint64_t>(data_left_, bytes.size()));
  data_left_ -= skipped;
  if (data_left_ == 0) {
    state_ = state::kDataEnd;
  }
  return skipped;
}

bool chunk_grammar::FeedByte(char c) {
  switch (state_) {
    case state::kSize:
      return FeedSize(c);
    case state::kExtension:
      state_ = c == '\r' ? state::kSizeEnd : state::kExtension;
      return c == '\r' || IsFieldText(c);
    case state::kSizeEnd:
      state_ = data_left_ > 0 ? state::kData : state::kTrailerStart;
      size_digits_ = 0;
      return c == '\n';
    case state::kData:
      return true;
    case state::kDataEnd:
      state_ = state::kDataLineFeed;
      return c == '\r';
    case state::kDataLineFeed:
      state_ = state::kSize;
      return c == '\n';
    case state::kTrailerStart:
    case state::kTrailerName:
    case state::kTrailerValue:
    case state::kTrailerEnd:
    case state::kBodyEnd:
      return FeedTrailer(c);
    case state::kComplete:
      return true;
  }
  return false;
}

bool chunk_grammar::FeedSize(char c) {
  constexpr unsigned kBitsPerDigit = 4;
  if (const std::optional<unsigned> digit = HexDigit(c)) {
    data_left_ = (data_left_ << kBitsPerDigit) | *digit;
    return ++size_digits_ <= kMaxSizeDigits;
  }
  state_ = c == '\r' ? state::kSizeEnd : state::kExtension;
  return size_digits_ > 0 && (c == '\r' || c == ';');
}

bool chunk_grammar::FeedTrailer(char c) {
  switch (state_) {
    case state::kTrailerStart:
      state_ = c == '\r' ? state::kBodyEnd : state::kTrailerName;
      return c == '\r' || IsTokenCharacter(c);
    case state::kTrailerName:
      state_ = c == ':' ? state::kTrailerValue : state::kTrailerName;
      return c == ':' || IsTokenCharacter(c);
    case state::kTrailerValue:
      state_ = c == '\r' ? state::kTrailerEnd : state::kTrailerValue;
      return c == '\r' || IsFieldText(c);
    case state::kTrailerEnd:
      state_ = state::kTrailerStart;
      return c == '\n';
    default:
      state_ = state::kComplete;
      return c == '\n';
  }
}

}  // namespace tarragon::http
