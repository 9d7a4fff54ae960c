#include <fmt/format.h>
#include <gflags/gflags.h>

#include <csignal>
#include <cstdio>
#include <string>
#include <vector>

#include "tarragon/base/log.h"
#include "tarragon/base/real_clock.h"
#include "tarragon/net/control_process.h"
#include "tarragon/settings/control_settings.h"

DEFINE_string(settings, "control.toml", "settings file of this process");
DEFINE_bool(check_settings, false, "check the settings file and exit: 0 if valid, 2 otherwise");

namespace {

constexpr int kExitStartFailed = 1;
constexpr int kExitInvalidSettings = 2;

}  // namespace

int main(int argc, char** argv) {
  gflags::SetUsageMessage(
      "sends orders to the model engines while it holds the lease.\n"
      "  tarragon-control --settings control.toml\n"
      "  tarragon-control --settings control.toml --check_settings");
  gflags::ParseCommandLineFlags(&argc, &argv, /*remove_flags=*/true);
  std::signal(SIGPIPE, SIG_IGN);
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);

  std::vector<std::string> errors;
  const auto settings = tarragon::settings::control_settings::Load(FLAGS_settings, &errors);
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
  tarragon::net::control_process control(*settings, time);
  if (!control.Start()) {
    return kExitStartFailed;
  }
  int signal = 0;
  sigwait(&signals, &signal);
  tarragon::LogEvent("signal", {{"number", signal}});
  control.Stop();
  return 0;
}
