#ifndef TARRAGON_HTTP_MESSAGE_READER_H_
#define TARRAGON_HTTP_MESSAGE_READER_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include "tarragon/http/header_list.h"

namespace tarragon::http {

/** Start line and headers of a request or a response. */
struct message_head {
  /** Requests only. */
  std::string method;
  std::string target;
  /** Responses only. */
  int status = 0;
  std::string reason;

  header_list headers;
  /** False if the connection closes after this message. */
  bool keep_alive = true;
  /** False for HTTP/1.0, where bodies cannot be chunked. */
  bool is_http_1_1_or_later = true;
  /** The body has a known length or is chunked; otherwise the end of the connection ends it. */
  bool has_delimited_body = true;
};

/** Receives the parts of a message as they are parsed. */
class message_listener {
 public:
  virtual ~message_listener() = default;
  virtual void OnHead(message_head head) = 0;
  virtual void OnBody(std::string_view bytes) = 0;
  virtual void OnMessageEnd() = 0;
};

enum class message_kind : std::uint8_t { kRequest, kResponse };

enum class reader_error : std::uint8_t {
  kNone,
  /** The bytes are not a valid HTTP/1.1 message, or switch to another protocol. */
  kMalformed,
  /** The start line, or the headers with separators and line ends, have too many bytes. */
  kHeaderTooLarge,
  kTooManyHeaders,
};

/**
 * Incremental reader of the HTTP/1.1 messages of one connection, based on the parser of the
 * `http-parser` library, which is lenient: a response is also checked against the grammar of RFC
 * 9112, its head as a whole before the listener gets it. Stops after each message and leaves the
 * following bytes to the caller.
 */
class message_reader final {
 public:
  /** Size of the shortest header line, `a:` and its line end. */
  static constexpr std::size_t kMinHeaderLineBytes = 4;

  /**
   * @param listener must outlive the reader.
   * @param max_header_bytes maximum size of the headers with their line ends, and of the start
   * line.
   * @param max_header_lines maximum number of headers; 0 for as many as these bytes can hold.
   */
  message_reader(message_kind kind,
                 message_listener& listener,
                 std::size_t max_header_bytes,
                 std::size_t max_header_lines = 0);
  ~message_reader();

  /** Declares that the next response answers a HEAD request: it has no body despite its headers. */
  void ExpectNoBody();

  /**
   * Parses bytes up to the end of one message. A message that the listener has seen end is valid:
   * an error concerns the message after it.
   * @return number of bytes consumed; less than `bytes.size()` if the message ended or is invalid.
   */
  std::size_t Feed(std::string_view bytes);

  /**
   * Handles the end of the connection, which completes a response whose body has no length.
   * @return whether no message was left incomplete.
   */
  bool Finish();

  reader_error error() const;
  /** @return whether a message has begun and not ended. */
  bool is_inside_message() const;
  /** @return memory in bytes that the head occupies while it is read. */
  std::size_t held_bytes() const;

  /** Public because the parser callbacks in the source file use it. */
  struct state;

 private:
  std::unique_ptr<state> state_;
};

}  // namespace tarragon::http

#endif  // TARRAGON_HTTP_MESSAGE_READER_H_
