#ifndef TARRAGON_NET_SSE_PARSER_H_
#define TARRAGON_NET_SSE_PARSER_H_

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace tarragon::net {

/** One dispatched event of a server-sent event stream. */
struct sse_event {
  /** Value of the `id` field of this event; empty if it had none. */
  std::string id;
  /** Value of the `event` field; empty means `message`. */
  std::string name;
  /** Lines of the `data` fields, joined by line feeds. */
  std::string data;

  bool operator==(const sse_event&) const = default;
};

/**
 * Incremental parser of the `text/event-stream` format (WHATWG HTML, section 9.2). The input may be
 * split at any byte. Comments, unknown fields and an incomplete last event are ignored.
 */
class sse_parser final {
 public:
  /** Largest accepted event, in bytes; a longer one is a protocol error. */
  static constexpr std::size_t kMaxEventBytes = std::size_t{1} << 20;

  /**
   * @param bytes next part of the stream.
   * @param events events completed by `bytes` are appended to this list.
   * @return false if an event exceeded `kMaxEventBytes`; the parser then ignores further bytes.
   */
  bool Feed(std::string_view bytes, std::vector<sse_event>& events);

 private:
  void EndLine(std::vector<sse_event>& events);
  void SetField(std::string_view field, std::string_view value);

  std::string line_;
  sse_event event_;
  bool has_data_ = false;
  bool after_carriage_return_ = false;
  bool first_line_ = true;
  bool failed_ = false;
};

}  // namespace tarragon::net

#endif  // TARRAGON_NET_SSE_PARSER_H_
