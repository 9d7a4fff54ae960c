#include "tarragon/burn/exposition.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <optional>
#include <utility>

namespace tarragon::burn {

namespace {

constexpr std::string_view kNameEnds = "{}=\", \t";

/** @return the text before the next line break, which `rest` loses. */
std::string_view TakeLine(std::string_view& rest) {
  const std::size_t end = std::min(rest.find('\n'), rest.size());
  const std::string_view line = rest.substr(0, end);
  rest.remove_prefix(std::min(end + 1, rest.size()));
  return line;
}

void SkipSpace(std::string_view& rest) {
  rest.remove_prefix(std::min(rest.find_first_not_of(" \t"), rest.size()));
}

std::string_view TakeName(std::string_view& rest) {
  const std::string_view name = rest.substr(0, rest.find_first_of(kNameEnds));
  rest.remove_prefix(name.size());
  return name;
}

bool TakeChar(std::string_view& rest, char wanted) {
  if (!rest.starts_with(wanted)) {
    return false;
  }
  rest.remove_prefix(1);
  return true;
}

/** Takes the rest of a quoted text. */
std::optional<std::string> TakeQuoted(std::string_view& rest) {
  std::string text;
  while (!rest.empty()) {
    char c = rest.front();
    rest.remove_prefix(1);
    if (c == '"') {
      return text;
    }
    if (c == '\\') {
      if (rest.empty()) {
        break;
      }
      c = rest.front() == 'n' ? '\n' : rest.front();
      rest.remove_prefix(1);
    }
    text += c;
  }
  return std::nullopt;
}

bool TakeLabels(std::string_view& rest, metric_point& point) {
  while (!TakeChar(rest, '}')) {
    const std::string key(TakeName(rest));
    if (key.empty() || !TakeChar(rest, '=') || !TakeChar(rest, '"')) {
      return false;
    }
    auto value = TakeQuoted(rest);
    if (!value || !point.labels.emplace(key, *std::move(value)).second) {
      return false;
    }
    if (!TakeChar(rest, ',') && !rest.starts_with('}')) {
      return false;
    }
  }
  return true;
}

std::optional<metric_point> ParseLine(std::string_view rest) {
  metric_point point;
  point.name = TakeName(rest);
  if (point.name.empty() || (TakeChar(rest, '{') && !TakeLabels(rest, point))) {
    return std::nullopt;
  }
  SkipSpace(rest);
  const auto parsed = std::from_chars(rest.data(), rest.data() + rest.size(), point.value);
  if (parsed.ec != std::errc() || !std::isfinite(point.value) || point.value < 0) {
    return std::nullopt;
  }
  rest.remove_prefix(static_cast<std::size_t>(parsed.ptr - rest.data()));
  // A time stamp may follow; the time of the scrape is used instead.
  const bool ends = rest.empty() || rest.front() == ' ' || rest.front() == '\t';
  return ends ? std::optional(std::move(point)) : std::nullopt;
}

}  // namespace

std::string_view metric_point::Label(std::string_view key) const {
  const auto found = labels.find(key);
  return found == labels.end() ? std::string_view() : found->second;
}

exposition ParseExposition(std::string_view text) {
  exposition result;
  while (!text.empty()) {
    std::string_view line = TakeLine(text);
    if (line.ends_with('\r')) {
      line.remove_suffix(1);
    }
    SkipSpace(line);
    if (line.empty() || line.front() == '#') {
      continue;
    }
    if (auto point = ParseLine(line)) {
      result.points.push_back(*std::move(point));
    } else {
      ++result.damaged_lines;
    }
  }
  return result;
}

std::string KeepMetrics(std::string_view text, const std::vector<std::string>& prefixes) {
  std::string kept;
  while (!text.empty()) {
    const std::string_view line = TakeLine(text);
    if (std::ranges::any_of(prefixes, [line](const auto& p) { return line.starts_with(p); })) {
      kept += line;
      kept += '\n';
    }
  }
  return kept;
}

}  // namespace tarragon::burn
