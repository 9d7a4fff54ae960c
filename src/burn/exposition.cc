#include "tarragon/burn/exposition.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <optional>
#include <utility>

namespace tarragon::burn {

namespace {

constexpr std::string_view kNameDelimiters = "{}=\", \t";

/** Removes the first line, with its line break, from `rest`. @return the line without the break. */
std::string_view ConsumeLine(std::string_view& rest) {
  const std::size_t end = std::min(rest.find('\n'), rest.size());
  const std::string_view line = rest.substr(0, end);
  rest.remove_prefix(std::min(end + 1, rest.size()));
  return line;
}

void SkipWhitespace(std::string_view& rest) {
  rest.remove_prefix(std::min(rest.find_first_not_of(" \t"), rest.size()));
}

std::string_view ConsumeName(std::string_view& rest) {
  const std::string_view name = rest.substr(0, rest.find_first_of(kNameDelimiters));
  rest.remove_prefix(name.size());
  return name;
}

bool ConsumeChar(std::string_view& rest, char expected) {
  if (!rest.starts_with(expected)) {
    return false;
  }
  rest.remove_prefix(1);
  return true;
}

/** Removes a quoted string, whose opening quote is gone, from `rest`. @return the unescaped text.
 */
std::optional<std::string> ConsumeQuotedString(std::string_view& rest) {
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

bool ConsumeLabels(std::string_view& rest, metric_point& point) {
  while (!ConsumeChar(rest, '}')) {
    const std::string key(ConsumeName(rest));
    if (key.empty() || !ConsumeChar(rest, '=') || !ConsumeChar(rest, '"')) {
      return false;
    }
    auto value = ConsumeQuotedString(rest);
    if (!value || !point.labels.emplace(key, *std::move(value)).second) {
      return false;
    }
    if (!ConsumeChar(rest, ',') && !rest.starts_with('}')) {
      return false;
    }
  }
  return true;
}

std::optional<metric_point> ParseLine(std::string_view rest) {
  metric_point point;
  point.name = ConsumeName(rest);
  if (point.name.empty() || (ConsumeChar(rest, '{') && !ConsumeLabels(rest, point))) {
    return std::nullopt;
  }
  SkipWhitespace(rest);
  const auto parsed = std::from_chars(rest.data(), rest.data() + rest.size(), point.value);
  if (parsed.ec != std::errc() || !std::isfinite(point.value) || point.value < 0) {
    return std::nullopt;
  }
  rest.remove_prefix(static_cast<std::size_t>(parsed.ptr - rest.data()));
  // An optional timestamp is ignored; the time of the scrape is used instead.
  const bool is_terminated = rest.empty() || rest.front() == ' ' || rest.front() == '\t';
  return is_terminated ? std::optional(std::move(point)) : std::nullopt;
}

}  // namespace

std::string_view metric_point::Label(std::string_view key) const {
  const auto found = labels.find(key);
  return found == labels.end() ? std::string_view() : found->second;
}

exposition ParseExposition(std::string_view text) {
  exposition result;
  while (!text.empty()) {
    std::string_view line = ConsumeLine(text);
    if (line.ends_with('\r')) {
      line.remove_suffix(1);
    }
    SkipWhitespace(line);
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

std::string FilterMetrics(std::string_view text, const std::vector<std::string>& prefixes) {
  std::string kept;
  while (!text.empty()) {
    const std::string_view line = ConsumeLine(text);
    if (std::ranges::any_of(prefixes, [line](const auto& p) { return line.starts_with(p); })) {
      kept += line;
      kept += '\n';
    }
  }
  return kept;
}

}  // namespace tarragon::burn
