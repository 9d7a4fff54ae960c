#include "tarragon/logs/request_log.h"

#include <algorithm>
#include <array>
#include <iterator>
#include <set>

namespace tarragon::logs {

namespace {

/** Events that affect all requests of a process. */
constexpr std::array<std::string_view, 8> kProcessEvents = {
    "start",           "stop",
    "drain",           "reload",
    "config_in_force", "config_unreadable",
    "dependency_lost", "dependency_regained"};

/** Keys whose values name an endpoint in the lines of a request. */
constexpr std::array<std::string_view, 3> kEndpointKeys = {"endpoint", "from", "to"};

bool IsProcessEvent(const std::string& event) {
  return std::ranges::find(kProcessEvents, event) != kProcessEvents.end();
}

}  // namespace

std::string LogFieldValue(std::string_view line, std::string_view key) {
  std::size_t at = 0;
  while ((at = line.find(key, at)) != std::string_view::npos) {
    const bool is_word_start = at == 0 || line[at - 1] == ' ';
    const std::size_t value = at + key.size() + 1;
    at += key.size();
    if (!is_word_start || value > line.size() || line[value - 1] != '=') {
      continue;
    }
    const std::string_view rest = line.substr(value);
    if (!rest.starts_with('"')) {
      return std::string(rest.substr(0, rest.find_first_of(" \n")));
    }
    return std::string(rest.substr(1, rest.find('"', 1) - 1));
  }
  return {};
}

std::vector<std::string> SelectRequestLines(const std::vector<std::string>& lines,
                                            std::string_view request_id) {
  std::set<std::string> endpoints;
  std::string last_time;
  for (const std::string& line : lines) {
    if (LogFieldValue(line, "request") != request_id) {
      continue;
    }
    last_time = std::max(last_time, LogFieldValue(line, "time"));
    for (const std::string_view key : kEndpointKeys) {
      endpoints.insert(LogFieldValue(line, key));
    }
  }
  std::vector<std::string> selected;
  if (last_time.empty()) {
    return selected;
  }
  endpoints.erase("");
  std::ranges::copy_if(lines, std::back_inserter(selected), [&](const std::string& line) {
    const std::string request = LogFieldValue(line, "request");
    if (!request.empty()) {
      return request == request_id;
    }
    if (LogFieldValue(line, "time") > last_time) {
      return false;
    }
    return IsProcessEvent(LogFieldValue(line, "event")) ||
           endpoints.contains(LogFieldValue(line, "endpoint"));
  });
  std::ranges::stable_sort(selected, {},
                           [](const std::string& line) { return LogFieldValue(line, "time"); });
  return selected;
}

}  // namespace tarragon::logs
