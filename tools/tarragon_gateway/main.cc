#include <fmt/format.h>
#include <gflags/gflags.h>

#include <csignal>
#include <cstdio>
#include <string>
#include <vector>

#include "table_platform.h"
#include "tarragon/base/real_clock.h"
#include "tarragon/gateway/gateway_process.h"
#include "tarragon/settings/gateway_settings.h"

DEFINE_string(settings, "gateway.toml", "settings file of this gateway");
DEFINE_bool(check_settings, false, "check the settings file and exit: 0 if valid, 2 otherwise");

namespace {

constexpr int kExitInvalidSettings = 2;
constexpr int kExitStartFailed = 1;

}  // namespace

int main(int argc, char** argv) {
  gflags::ParseCommandLineFlags(&argc, &argv, /*remove_flags=*/true);
  std::signal(SIGPIPE, SIG_IGN);
  std::vector<std::string> errors;
  auto settings = tarragon::settings::gateway_settings::Load(FLAGS_settings, &errors);
  for (const std::string& error : errors) {
    fmt::print(stderr, "{}\n", error);
  }
  if (!settings) {
    return kExitInvalidSettings;
  }
  if (FLAGS_check_settings) {
    return 0;
  }
  const tarragon::real_clock time;
  const tarragon::platform::table_platform adapter;
  tarragon::gateway::gateway_process gateway(*settings, adapter, time);
  if (!gateway.Start(FLAGS_settings)) {
    return kExitStartFailed;
  }
  gateway.Run();
  return 0;
}
