#ifndef TARRAGON_BASE_LOG_H_
#define TARRAGON_BASE_LOG_H_

#include <fmt/format.h>

#include <initializer_list>
#include <string>
#include <string_view>

namespace tarragon {

/** One `key=value` pair of a log line. Values with spaces are quoted. */
struct log_field {
  template <typename T>
  log_field(std::string_view field_key, const T& field_value)
      : key(field_key), value(fmt::format("{}", field_value)) {}

  std::string_view key;
  std::string value;
};

/** Appends one line: wall time, `event=<event>`, the fields and a line feed. */
void AppendLogLine(fmt::memory_buffer& text,
                   std::string_view event,
                   std::initializer_list<log_field> fields);

/**
 * Writes one line to standard error: wall time, `event=<event>` and the fields. For state
 * changes only; per-request events are counted in metrics.
 */
void LogEvent(std::string_view event, std::initializer_list<log_field> fields = {});

}  // namespace tarragon

#endif  // TARRAGON_BASE_LOG_H_
