#include "tarragon/base/log.h"

#include <fmt/chrono.h>

#include <chrono>
#include <cstdio>
#include <iterator>

namespace tarragon {

namespace {

bool NeedsQuotes(std::string_view value) {
  return value.empty() || value.find_first_of(" \"=\n\r\t") != std::string_view::npos;
}

void AppendValue(fmt::memory_buffer& line, std::string_view value) {
  if (!NeedsQuotes(value)) {
    line.append(value);
    return;
  }
  line.push_back('"');
  for (const char c : value) {
    if (c == '\n' || c == '\r') {
      line.append(std::string_view("\\n"));
      continue;
    }
    if (c == '"' || c == '\\') {
      line.push_back('\\');
    }
    line.push_back(c);
  }
  line.push_back('"');
}

}  // namespace

void AppendLogLine(fmt::memory_buffer& text,
                   std::string_view event,
                   std::initializer_list<log_field> fields) {
  const auto now =
      std::chrono::time_point_cast<std::chrono::milliseconds>(std::chrono::system_clock::now());
  const auto millis = now.time_since_epoch().count() % 1000;
  fmt::format_to(std::back_inserter(text), "time={:%Y-%m-%dT%H:%M:%S}.{:03}Z event={}",
                 fmt::gmtime(std::chrono::system_clock::to_time_t(now)), millis, event);
  for (const log_field& field : fields) {
    text.push_back(' ');
    text.append(field.key);
    text.push_back('=');
    AppendValue(text, field.value);
  }
  text.push_back('\n');
}

void LogEvent(std::string_view event, std::initializer_list<log_field> fields) {
  fmt::memory_buffer line;
  AppendLogLine(line, event, fields);
  // A single write per line prevents threads from interleaving parts of lines.
  std::fwrite(line.data(), 1, line.size(), stderr);
}

}  // namespace tarragon
