#include "tarragon/http/response_head_grammar.h"

#include <algorithm>

namespace tarragon::http {

namespace {

/**
 * The status line up to the reason phrase. `m` stands for the minor version, `f` for the first
 * digit of a status that RFC 9110, 15 defines, `d` for any digit.
 */
constexpr std::string_view kStatusLine = "HTTP/1.m fdd ";

bool IsDigit(char c) {
  return c >= '0' && c <= '9';
}

}  // namespace

bool IsTokenCharacter(char c) {
  constexpr std::string_view kSymbols = "!#$%&'*+-.^_`|~";
  return IsDigit(c) || (c >= 'A' && c <= 'Z') || (c >= 'a' && c <= 'z') ||
         kSymbols.find(c) != std::string_view::npos;
}

bool IsFieldText(char c) {
  constexpr char kDelete = '\x7f';
  // Characters above ASCII are negative where `char` is signed.
  const auto code = static_cast<unsigned char>(c);
  return c == '\t' || (code >= ' ' && c != kDelete);
}

std::optional<std::size_t> response_head_grammar::Feed(std::string_view bytes) {
  bool is_valid = true;
  const auto end = std::ranges::find_if(bytes, [&](char c) {
    is_valid = is_valid && (is_complete() || FeedByte(c));
    return !is_valid || is_complete();
  });
  if (!is_valid) {
    return std::nullopt;
  }
  const auto read = static_cast<std::size_t>(end - bytes.begin());
  return std::min(read + 1, bytes.size());
}

bool response_head_grammar::FeedByte(char c) {
  switch (state_) {
    case state::kStatusLine:
      return FeedStatusLine(c);
    case state::kReason:
    case state::kValue:
      return FeedText(c);
    case state::kLineStart:
      state_ = c == '\r' ? state::kHeadEnd : state::kName;
      return c == '\r' || IsTokenCharacter(c);
    case state::kName:
      state_ = c == ':' ? state::kValue : state::kName;
      return c == ':' || IsTokenCharacter(c);
    case state::kLineEnd:
      state_ = state::kLineStart;
      return c == '\n';
    case state::kHeadEnd:
      state_ = state::kComplete;
      return c == '\n';
    case state::kComplete:
      return true;
  }
  return false;
}

bool response_head_grammar::FeedStatusLine(char c) {
  const char expected = kStatusLine[position_++];
  if (position_ == kStatusLine.size()) {
    state_ = state::kReason;
  }
  switch (expected) {
    case 'm':
    case 'd':
      return IsDigit(c);
    case 'f':
      return c >= '1' && c <= '5';
    default:
      return c == expected;
  }
}

bool response_head_grammar::FeedText(char c) {
  if (c == '\r') {
    state_ = state::kLineEnd;
    return true;
  }
  return IsFieldText(c);
}

}  // namespace tarragon::http
