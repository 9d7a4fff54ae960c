#ifndef TARRAGON_HTTP_EVENT_SPLITTER_H_
#define TARRAGON_HTTP_EVENT_SPLITTER_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace tarragon::http {

/** One complete event of a `text/event-stream`, as the bytes that were received. */
struct raw_event {
  /** The event, including the empty line that ends it. */
  std::string bytes;
  /** Value of the `id` field; empty if the field is missing or not a number. */
  std::optional<std::uint64_t> id;
};

/**
 * Splits a stream into complete events and keeps their bytes unchanged, for a relay that must never
 * pass on part of an event. (`net::sse_parser` decodes events and drops their bytes.)
 */
class event_splitter final {
 public:
  /** Maximum size of an event; a larger one is treated as an error of the sender. */
  static constexpr std::size_t kMaxEventBytes = std::size_t{128} << 10;

  /** Appends all events that are complete. @return false if an incomplete event is too large. */
  bool Feed(std::string_view bytes, std::vector<raw_event>& events);

  /** @return whether the bytes so far end inside an event. */
  bool has_partial_event() const { return !buffer_.empty(); }

 private:
  std::string buffer_;
};

}  // namespace tarragon::http

#endif  // TARRAGON_HTTP_EVENT_SPLITTER_H_
