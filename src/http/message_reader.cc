#include "tarragon/http/message_reader.h"

#include <http_parser.h>

#include <algorithm>
#include <cstdint>
#include <limits>
#include <optional>
#include <utility>

#include "tarragon/http/chunk_grammar.h"
#include "tarragon/http/response_head_grammar.h"

namespace tarragon::http {

namespace {

/** @return whether the text is a valid header name (RFC 9110, 5.6.2). */
bool IsToken(std::string_view text) {
  return !text.empty() && std::ranges::all_of(text, IsTokenCharacter);
}

bool IsNumber(std::string_view text) {
  return !text.empty() && std::ranges::all_of(text, [](char c) { return c >= '0' && c <= '9'; });
}

/**
 * @return whether the headers leave no doubt where the body of a response ends (RFC 9112, 6.1 to
 *     6.3): a length is stated once, or the only encoding is `chunked`, but not both.
 */
bool HasClearFraming(const message_head& head) {
  const auto count = [&head](std::string_view name) {
    return std::ranges::count_if(head.headers, [name](const header_view& h) {
      return EqualsIgnoringAsciiCase(h.name, name);
    });
  };
  const auto lengths = count("Content-Length");
  const auto encodings = count("Transfer-Encoding");
  if (encodings > 0) {
    return encodings == 1 && lengths == 0 && head.is_http_1_1_or_later &&
           EqualsIgnoringAsciiCase(*head.headers.Find("Transfer-Encoding"), "chunked");
  }
  return lengths == 0 || (lengths == 1 && IsNumber(*head.headers.Find("Content-Length")));
}

}  // namespace

struct message_reader::state {
  state(message_kind message,
        message_listener& receiver,
        std::size_t header_bound,
        std::size_t line_bound)
      : listener(receiver), max_header_bytes(header_bound), max_header_lines(line_bound) {
    http_parser_init(&parser, message == message_kind::kRequest ? HTTP_REQUEST : HTTP_RESPONSE);
    parser.data = this;
  }

  /** Adds the header that is complete. @return false if its name is not a token. */
  bool FinishHeader() {
    in_value = false;
    if (name.empty()) {
      return true;
    }
    if (!IsToken(name) || name.size() > header_list::kMaxNameBytes) {
      return false;
    }
    if (++header_lines > max_header_lines) {
      error = reader_error::kTooManyHeaders;
      return false;
    }
    head.headers.Add(name, value);
    name.clear();
    value.clear();
    return true;
  }

  /** Counts trailers, which are not kept. @return 1 to stop the parser if they are too large. */
  int CountTrailerBytes(std::size_t bytes) {
    trailer_bytes += bytes;
    if (trailer_bytes <= max_header_bytes) {
      return 0;
    }
    error = reader_error::kHeaderTooLarge;
    return 1;
  }

  /** The bytes of the start line and those of the headers are counted apart, as they arrive. */
  std::size_t& CountedBytes() { return headers_begun ? header_bytes : start_line_bytes; }

  std::size_t Parse(std::string_view bytes);
  /**
   * Checks bytes of a response before they are parsed. @return the valid ones up to the end of the
   * head or, after it, all valid ones.
   */
  std::string_view CheckResponse(std::string_view bytes);
  void PrepareForNextMessage();

  http_parser parser{};
  message_listener& listener;
  std::size_t max_header_bytes;
  std::size_t max_header_lines;
  std::size_t start_line_bytes = 0;
  std::size_t header_bytes = 0;
  std::size_t header_lines = 0;
  std::size_t trailer_bytes = 0;
  /** Start of the bytes that are being parsed. */
  const char* parsed = nullptr;
  /** Offset in these of the first header, if it begins there. */
  std::size_t headers_offset = 0;
  bool headers_begun = false;
  message_head head;
  std::string name;
  std::string value;
  bool in_value = false;
  bool inside_message = false;
  /** The head is complete: further fields are trailers, which are not passed on. */
  bool has_head = false;
  bool expect_no_body = false;
  response_head_grammar head_grammar;
  chunk_grammar chunks;
  /** No byte of the response has broken its grammar. */
  bool is_valid = true;
  reader_error error = reader_error::kNone;
};

namespace {

using reader_state = message_reader::state;

reader_state& GetState(http_parser* parser) {
  return *static_cast<reader_state*>(parser->data);
}

int OnBegin(http_parser* parser) {
  reader_state& state = GetState(parser);
  state.inside_message = true;
  return 0;
}

int OnUrl(http_parser* parser, const char* at, std::size_t length) {
  reader_state& state = GetState(parser);
  state.head.target.append(at, length);
  return 0;
}

int OnStatus(http_parser* parser, const char* at, std::size_t length) {
  reader_state& state = GetState(parser);
  state.head.reason.append(at, length);
  return 0;
}

int OnHeaderField(http_parser* parser, const char* at, std::size_t length) {
  reader_state& state = GetState(parser);
  if (state.has_head) {
    return state.CountTrailerBytes(length);
  }
  if (!std::exchange(state.headers_begun, true)) {
    state.headers_offset = static_cast<std::size_t>(at - state.parsed);
  }
  if (state.in_value && !state.FinishHeader()) {
    return 1;
  }
  state.name.append(at, length);
  return 0;
}

int OnHeaderValue(http_parser* parser, const char* at, std::size_t length) {
  reader_state& state = GetState(parser);
  if (state.has_head) {
    return state.CountTrailerBytes(length);
  }
  state.in_value = true;
  state.value.append(at, length);
  return 0;
}

/** @return whether the message itself delimits its body (RFC 9112, 6.3). */
bool HasDelimitedBody(const http_parser& parser) {
  constexpr unsigned kFirstFinalStatus = 200;
  constexpr unsigned kNoContent = 204;
  constexpr unsigned kNotModified = 304;
  const unsigned status = parser.status_code;
  const bool has_no_body =
      status < kFirstFinalStatus || status == kNoContent || status == kNotModified;
  return parser.type == HTTP_REQUEST || has_no_body || (parser.flags & F_CHUNKED) != 0 ||
         parser.content_length != std::numeric_limits<std::uint64_t>::max();
}

/** @return whether the bytes after the head are in another protocol. */
bool SwitchesProtocol(const http_parser& parser) {
  constexpr unsigned kSwitchingProtocols = 101;
  return parser.type == HTTP_REQUEST ? parser.method == HTTP_CONNECT
                                     : parser.status_code == kSwitchingProtocols;
}

int OnHeadersComplete(http_parser* parser) {
  constexpr int kContinue = 0;
  constexpr int kSkipBody = 1;
  constexpr int kReject = -1;
  reader_state& state = GetState(parser);
  if (!state.FinishHeader() || SwitchesProtocol(*parser)) {
    return kReject;
  }
  state.has_head = true;
  state.name = {};
  state.value = {};
  // An upgrade that a request offers may be ignored (RFC 9110, 7.8).
  parser->upgrade = 0;
  message_head& head = state.head;
  if (parser->type == HTTP_REQUEST) {
    head.method = http_method_str(static_cast<http_method>(parser->method));
  }
  head.status = static_cast<int>(parser->status_code);
  head.keep_alive = http_should_keep_alive(parser) != 0;
  head.is_http_1_1_or_later =
      parser->http_major > 1 || (parser->http_major == 1 && parser->http_minor > 0);
  head.has_delimited_body = state.expect_no_body || HasDelimitedBody(*parser);
  if (parser->type == HTTP_RESPONSE && !HasClearFraming(head)) {
    return kReject;
  }
  state.listener.OnHead(std::exchange(head, {}));
  return state.expect_no_body ? kSkipBody : kContinue;
}

int OnBody(http_parser* parser, const char* at, std::size_t length) {
  GetState(parser).listener.OnBody({at, length});
  return 0;
}

int OnMessageComplete(http_parser* parser) {
  reader_state& state = GetState(parser);
  state.inside_message = false;
  state.expect_no_body = false;
  state.PrepareForNextMessage();
  http_parser_pause(parser, 1);
  state.listener.OnMessageEnd();
  return 0;
}

const http_parser_settings& Callbacks() {
  static const http_parser_settings kSettings = [] {
    http_parser_settings callbacks{};
    http_parser_settings_init(&callbacks);
    callbacks.on_message_begin = OnBegin;
    callbacks.on_url = OnUrl;
    callbacks.on_status = OnStatus;
    callbacks.on_header_field = OnHeaderField;
    callbacks.on_header_value = OnHeaderValue;
    callbacks.on_headers_complete = OnHeadersComplete;
    callbacks.on_body = OnBody;
    callbacks.on_message_complete = OnMessageComplete;
    return callbacks;
  }();
  return kSettings;
}

}  // namespace

void message_reader::state::PrepareForNextMessage() {
  head = {};
  start_line_bytes = header_bytes = header_lines = trailer_bytes = 0;
  headers_begun = false;
  has_head = false;
  in_value = false;
  head_grammar = {};
  chunks = {};
}

std::string_view message_reader::state::CheckResponse(std::string_view bytes) {
  if (!has_head) {
    const std::optional<std::size_t> head_bytes = head_grammar.Feed(bytes);
    is_valid = head_bytes.has_value();
    return bytes.substr(0, head_bytes.value_or(0));
  }
  if ((parser.flags & F_CHUNKED) == 0) {
    return bytes;
  }
  const std::size_t valid_bytes = chunks.Feed(bytes);
  is_valid = valid_bytes == bytes.size();
  return bytes.substr(0, valid_bytes);
}

/**
 * Parses a part of the bytes. While a head is read, the part ends where the head would be too
 * large, so that the result does not depend on how the network splits the bytes.
 * @return number of bytes consumed.
 */
std::size_t message_reader::state::Parse(std::string_view bytes) {
  const bool in_head = !has_head;
  if (in_head) {
    bytes = bytes.substr(0, max_header_bytes - CountedBytes());
  }
  if (parser.type == HTTP_RESPONSE) {
    bytes = CheckResponse(bytes);
  }
  if (!is_valid) {
    error = reader_error::kMalformed;
  }
  if (bytes.empty()) {
    return 0;
  }
  parsed = bytes.data();
  const bool had_begun = headers_begun;
  const std::size_t consumed =
      http_parser_execute(&parser, &Callbacks(), bytes.data(), bytes.size());
  const auto code = HTTP_PARSER_ERRNO(&parser);
  if (code != HPE_OK && code != HPE_PAUSED && error == reader_error::kNone) {
    error = code == HPE_HEADER_OVERFLOW ? reader_error::kHeaderTooLarge : reader_error::kMalformed;
  }
  if (in_head && !has_head && code == HPE_OK) {
    const bool begins_here = headers_begun && !had_begun;
    CountedBytes() += consumed - (begins_here ? headers_offset : 0);
    if (CountedBytes() >= max_header_bytes) {
      error = reader_error::kHeaderTooLarge;
    }
  }
  return consumed;
}

message_reader::message_reader(message_kind kind,
                               message_listener& listener,
                               std::size_t max_header_bytes,
                               std::size_t max_header_lines)
    : state_(std::make_unique<state>(
          kind,
          listener,
          max_header_bytes,
          max_header_lines > 0 ? max_header_lines : max_header_bytes / kMinHeaderLineBytes)) {}

message_reader::~message_reader() = default;

void message_reader::ExpectNoBody() {
  state_->expect_no_body = true;
}

std::size_t message_reader::Feed(std::string_view bytes) {
  http_parser& parser = state_->parser;
  if (HTTP_PARSER_ERRNO(&parser) == HPE_PAUSED) {
    http_parser_pause(&parser, 0);
  }
  std::size_t consumed = 0;
  while (consumed < bytes.size() && state_->error == reader_error::kNone &&
         HTTP_PARSER_ERRNO(&parser) == HPE_OK) {
    consumed += state_->Parse(bytes.substr(consumed));
  }
  return consumed;
}

bool message_reader::Finish() {
  if (state_->error != reader_error::kNone) {
    return false;
  }
  http_parser& parser = state_->parser;
  if (HTTP_PARSER_ERRNO(&parser) == HPE_PAUSED) {
    return true;
  }
  if (!state_->inside_message) {
    return true;
  }
  http_parser_execute(&parser, &Callbacks(), nullptr, 0);
  return !state_->inside_message;
}

reader_error message_reader::error() const {
  return state_->error;
}

bool message_reader::is_inside_message() const {
  return state_->inside_message;
}

std::size_t message_reader::held_bytes() const {
  return state_->head.headers.held_bytes() + state_->head.target.capacity() +
         state_->name.capacity() + state_->value.capacity();
}

}  // namespace tarragon::http
