#include <fmt/format.h>

#include <algorithm>
#include <cstdio>
#include <fstream>
#include <iostream>
#include <istream>
#include <string>
#include <vector>

#include "command.h"
#include "tarragon/logs/request_log.h"

namespace tarragon::ctl {

namespace {

void ReadLines(std::istream& input, std::vector<std::string>& lines) {
  for (std::string line; std::getline(input, line);) {
    lines.push_back(line);
  }
}

}  // namespace

int RunExplain(const command_context& context) {
  constexpr std::size_t kFirstFile = 2;
  if (context.arguments.size() < kFirstFile) {
    fmt::print(stderr, "usage: tarragonctl explain REQUEST-ID [LOG FILE...]\n");
    return kExitUsage;
  }
  std::vector<std::string> lines;
  for (std::size_t i = kFirstFile; i < context.arguments.size(); ++i) {
    std::ifstream file(context.arguments[i]);
    if (!file) {
      fmt::print(stderr, "cannot read log file {}\n", context.arguments[i]);
      return kExitUsage;
    }
    ReadLines(file, lines);
  }
  if (context.arguments.size() == kFirstFile) {
    ReadLines(std::cin, lines);
  }
  const std::vector<std::string> story = logs::SelectRequestLines(lines, context.arguments[1]);
  std::ranges::for_each(story, [](const std::string& line) { fmt::print("{}\n", line); });
  if (story.empty()) {
    fmt::print(stderr, "no log line names request {}\n", context.arguments[1]);
    return kExitRefused;
  }
  return kExitOk;
}

}  // namespace tarragon::ctl
