#include "emulator/gateway_child.h"

#include <fcntl.h>
#include <fmt/format.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <asio/io_context.hpp>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <utility>
#include <vector>

#include "emulator/port_reservation.h"
#include "tarragon/base/invariant.h"

namespace tarragon::emulator {

namespace {

std::string AddressOf(const asio::ip::tcp::acceptor& acceptor) {
  return fmt::format("127.0.0.1:{}", acceptor.local_endpoint().port());
}

}  // namespace

gateway_child::gateway_child(gateway_options options)
    : options_(std::move(options)),
      reserved_(ReservePorts(loop_, 3)),
      callers_address_(AddressOf(reserved_[0])),
      readiness_address_(AddressOf(reserved_[1])),
      peer_address_(AddressOf(reserved_[2])) {
  settings_file_ = options_.folder + "/" + options_.name + ".toml";
  std::ofstream(settings_file_) << fmt::format(
      "[vm]\nname = \"{}\"\nfailure_domain = \"{}\"\n"
      "[listen]\ncallers = \"{}\"\nreadiness = \"{}\"\npeers = \"{}\"\n"
      "[store]\naddress = \"{}\"\n[shutdown]\ngrace_s = 8\n"
      "[retries]\nshare = 0.2\nslack = 60\nwindow_s = 10\n{}",
      options_.name, options_.failure_domain, callers_address_, readiness_address_, peer_address_,
      options_.store_address, options_.further_settings);
}

gateway_child::~gateway_child() {
  Kill();
}

bool HasProductionBuild() {
  return std::filesystem::exists(TARRAGON_PRODUCTION_PROGRAM);
}

void gateway_child::Start(gateway_build build) {
  TARRAGON_INVARIANT(process_ == 0, "the gateway process is already running");
  std::string program =
      build == gateway_build::kCurrent ? TARRAGON_GATEWAY_PROGRAM : TARRAGON_PRODUCTION_PROGRAM;
  std::string argument = "--settings=" + settings_file_;
  const std::array<char*, 3> arguments = {program.data(), argument.data(), nullptr};
  posix_spawn_file_actions_t file_actions;
  posix_spawn_file_actions_init(&file_actions);
  const std::string log = log_file();
  posix_spawn_file_actions_addopen(&file_actions, STDOUT_FILENO, log.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND, 0600);
  posix_spawn_file_actions_adddup2(&file_actions, STDOUT_FILENO, STDERR_FILENO);
  const int error =
      posix_spawn(&process_, program.c_str(), &file_actions, nullptr, arguments.data(), environ);
  posix_spawn_file_actions_destroy(&file_actions);
  TARRAGON_INVARIANT(error == 0, "posix_spawn failed to start the gateway");
}

void gateway_child::SendSignal(int signal) const {
  if (process_ != 0) {
    ::kill(process_, signal);
  }
}

void gateway_child::Kill() {
  if (process_ != 0) {
    ::kill(process_, SIGKILL);
    ::waitpid(process_, &exit_status_, 0);
    process_ = 0;
  }
}

bool gateway_child::HasExited() {
  if (process_ != 0 && ::waitpid(process_, &exit_status_, WNOHANG) == process_) {
    process_ = 0;
  }
  return process_ == 0;
}

}  // namespace tarragon::emulator
