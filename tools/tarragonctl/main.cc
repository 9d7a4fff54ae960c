#include <fmt/format.h>
#include <gflags/gflags.h>

#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <iterator>
#include <string>
#include <string_view>

#include "admin_client.h"
#include "command.h"

DEFINE_string(server, "127.0.0.1:8080", "ip:port of an entry or of the load balancer");
DEFINE_string(token_file,
              "",
              "file with the team's token; default: environment variable TARRAGON_TOKEN");
DEFINE_bool(json, false, "print JSON");
DEFINE_bool(wait, false, "wait until the edit is in force on every VM");
DEFINE_int32(timeout_ms, 30000, "timeout of --wait");
DEFINE_uint64(base, 0, "section version that a put is based on; default: the one in the file");
DEFINE_string(author, "", "author recorded with the edit; default: the team");

namespace {

using tarragon::ctl::command_context;

constexpr char kUsage[] =
    "operator client of tarragondyke.\n"
    "  tarragonctl init DIRECTORY                    create the operating document\n"
    "  tarragonctl section list\n"
    "  tarragonctl section show fleet > fleet.toml   edit it, then:\n"
    "  tarragonctl section put fleet fleet.toml --wait\n"
    "  tarragonctl section edit models 'version = \"1\"' 'version = \"2\"' --wait\n"
    "  tarragonctl section history models\n"
    "  tarragonctl section diff models 3 4\n"
    "  tarragonctl section undo models 3\n"
    "  tarragonctl rollout                           model versions on the engines\n"
    "  tarragonctl fleet                             document version on each VM\n"
    "  tarragonctl status                            status of the entry that answers\n"
    "  tarragonctl explain REQUEST-ID [LOG FILE...]  log events of a request\n"
    "Exit status: 0 done, 1 rejected, 2 usage, 3 section changed, 4 unavailable, 5 timeout of "
    "--wait.";

struct command {
  std::string_view name;
  int (*run)(const command_context&);
};

constexpr command kCommands[] = {
    {"init", tarragon::ctl::RunInit},     {"section", tarragon::ctl::RunSection},
    {"fleet", tarragon::ctl::RunFleet},   {"rollout", tarragon::ctl::RunRollout},
    {"status", tarragon::ctl::RunStatus}, {"explain", tarragon::ctl::RunExplain},
};

std::string ReadToken() {
  if (FLAGS_token_file.empty()) {
    const char* token = std::getenv("TARRAGON_TOKEN");
    return token == nullptr ? std::string() : token;
  }
  std::ifstream file(FLAGS_token_file);
  std::string token{std::istreambuf_iterator<char>(file), {}};
  token.erase(token.find_last_not_of(" \r\n\t") + 1);
  return token;
}

}  // namespace

int main(int argc, char** argv) {
  gflags::SetUsageMessage(kUsage);
  gflags::ParseCommandLineFlags(&argc, &argv, /*remove_flags=*/true);
  if (argc < 2) {
    fmt::print(stderr, "{}\n", kUsage);
    return tarragon::ctl::kExitUsage;
  }
  const auto client = tarragon::ctl::admin_client::Make(FLAGS_server, ReadToken());
  if (!client) {
    fmt::print(stderr, "--server={}: expected ip:port\n", FLAGS_server);
    return tarragon::ctl::kExitUsage;
  }
  const command_context context{*client,
                                {argv + 1, argv + argc},
                                FLAGS_json,
                                FLAGS_wait,
                                std::chrono::milliseconds(FLAGS_timeout_ms),
                                FLAGS_base,
                                FLAGS_author};
  for (const command& candidate : kCommands) {
    if (context.arguments[0] == candidate.name) {
      return candidate.run(context);
    }
  }
  fmt::print(stderr, "unknown command '{}'\n{}\n", context.arguments[0], kUsage);
  return tarragon::ctl::kExitUsage;
}
