#include "tarragon/http/event_splitter.h"

#include <charconv>
#include <system_error>

namespace tarragon::http {

namespace {

/** @return offset after the empty line that ends the first event, or npos. */
std::size_t FindEventEnd(std::string_view text) {
  std::size_t line_start = 0;
  while (line_start < text.size()) {
    const std::size_t newline = text.find('\n', line_start);
    if (newline == std::string_view::npos) {
      return std::string_view::npos;
    }
    const std::string_view line = text.substr(line_start, newline - line_start);
    if (line.empty() || line == "\r") {
      return newline + 1;
    }
    line_start = newline + 1;
  }
  return std::string_view::npos;
}

std::optional<std::uint64_t> ParseEventId(std::string_view event) {
  constexpr std::string_view kField = "id:";
  std::size_t line_start = 0;
  while (line_start < event.size()) {
    const std::size_t newline = event.find('\n', line_start);
    std::string_view line = event.substr(line_start, newline - line_start);
    line_start = newline == std::string_view::npos ? event.size() : newline + 1;
    if (!line.starts_with(kField)) {
      continue;
    }
    line.remove_prefix(kField.size());
    while (line.starts_with(' ')) {
      line.remove_prefix(1);
    }
    std::uint64_t id = 0;
    const auto [end, error] = std::from_chars(line.data(), line.data() + line.size(), id);
    if (error == std::errc{} && end != line.data()) {
      return id;
    }
  }
  return std::nullopt;
}

}  // namespace

bool event_splitter::Feed(std::string_view bytes, std::vector<raw_event>& events) {
  buffer_.append(bytes);
  std::string_view rest = buffer_;
  for (std::size_t end = FindEventEnd(rest); end != std::string_view::npos;
       end = FindEventEnd(rest)) {
    const std::string_view event = rest.substr(0, end);
    events.push_back({std::string(event), ParseEventId(event)});
    rest.remove_prefix(end);
  }
  buffer_.erase(0, buffer_.size() - rest.size());
  return buffer_.size() <= kMaxEventBytes;
}

}  // namespace tarragon::http
