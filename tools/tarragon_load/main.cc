#include <fmt/format.h>
#include <gflags/gflags.h>

#include <charconv>
#include <csignal>
#include <cstdio>
#include <ranges>
#include <string_view>

#include "latency_mode.h"
#include "mixed_mode.h"

DEFINE_string(mode, "latency", "experiment to run: latency or mixed");
DEFINE_string(entry, "127.0.0.1:21900", "ip:port of the entry");
DEFINE_string(endpoints, "127.0.0.1:21901", "comma-separated ip:port of each endpoint");
DEFINE_string(token, "smoke-token", "bearer token of the client account");
DEFINE_string(model, "drafter", "model to request");
DEFINE_int32(streams, 200, "number of concurrent streams");
DEFINE_uint32(tokens, 200, "tokens per stream");
DEFINE_string(marks, "100", "comma-separated token indices to report separately");

namespace {

constexpr int kExitUsage = 2;

template <typename F>
void ForEachItem(std::string_view list, F visit) {
  for (const auto item : std::views::split(list, ',')) {
    visit(std::string_view(item.begin(), item.end()));
  }
}

int ParseFlagsAndRunLatencyMode() {
  tarragon::load::latency_options options;
  const auto entry = tarragon::net::socket_address::Make(FLAGS_entry);
  bool valid = entry.has_value() && FLAGS_streams > 0 && FLAGS_tokens > 0;
  ForEachItem(FLAGS_endpoints, [&](std::string_view text) {
    const auto address = tarragon::net::socket_address::Make(text);
    valid = valid && address;
    options.endpoints.push_back(address.value_or(tarragon::net::socket_address{}));
  });
  ForEachItem(FLAGS_marks, [&](std::string_view text) {
    std::uint32_t mark = 0;
    valid =
        valid && std::from_chars(text.data(), text.data() + text.size(), mark).ec == std::errc();
    options.marked_indices.push_back(mark);
  });
  if (!valid) {
    fmt::print(stderr, "--entry, --endpoints, --streams, --tokens or --marks is invalid\n");
    return kExitUsage;
  }
  options.entry = *entry;
  options.token = FLAGS_token;
  options.model = FLAGS_model;
  options.streams = FLAGS_streams;
  options.tokens = FLAGS_tokens;
  return tarragon::load::RunLatencyMode(options) ? 0 : 1;
}

}  // namespace

int main(int argc, char** argv) {
  gflags::ParseCommandLineFlags(&argc, &argv, /*remove_flags=*/true);
  std::signal(SIGPIPE, SIG_IGN);
  if (FLAGS_mode == "latency") {
    return ParseFlagsAndRunLatencyMode();
  }
  if (FLAGS_mode == "mixed") {
    return tarragon::load::RunMixedMode();
  }
  fmt::print(stderr, "unknown --mode '{}': expected latency or mixed\n", FLAGS_mode);
  return kExitUsage;
}
