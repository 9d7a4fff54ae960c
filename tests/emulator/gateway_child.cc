#include "emulator/gateway_child.h"

#include <fcntl.h>
#include <fmt/format.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <csignal>
#include <cstdint>
#include <fstream>
#include <utility>
#include <vector>

#include "tarragon/base/invariant.h"

namespace tarragon::emulator {

namespace {

/**
 * @return addresses of loopback with ports that are free now. They lie below the ports that the
 *     system gives to connections, and each test process begins at its own place.
 */
std::vector<std::string> FreeAddresses(std::size_t count) {
  constexpr unsigned kFirstPort = 10'000;
  constexpr unsigned kPorts = 10'000;
  constexpr unsigned kPortsOfAProcess = 97;
  static unsigned next = static_cast<unsigned>(::getpid()) * kPortsOfAProcess;
  asio::io_context loop;
  std::vector<std::string> addresses;
  while (addresses.size() < count) {
    const auto port = static_cast<std::uint16_t>(kFirstPort + next++ % kPorts);
    asio::ip::tcp::acceptor probe(loop, asio::ip::tcp::v4());
    asio::error_code taken;
    probe.bind({asio::ip::address_v4::loopback(), port}, taken);
    if (!taken) {
      addresses.push_back(fmt::format("127.0.0.1:{}", port));
    }
  }
  return addresses;
}

}  // namespace

gateway_child::gateway_child(gateway_options options) : options_(std::move(options)) {
  const std::vector<std::string> addresses = FreeAddresses(3);
  callers_address_ = addresses[0];
  readiness_address_ = addresses[1];
  settings_file_ = options_.folder + "/" + options_.name + ".toml";
  std::ofstream(settings_file_) << fmt::format(
      "[vm]\nname = \"{}\"\nfailure_domain = \"{}\"\n"
      "[listen]\ncallers = \"{}\"\nreadiness = \"{}\"\npeers = \"{}\"\n"
      "[store]\naddress = \"{}\"\n[shutdown]\ngrace_s = 8\n"
      "[retries]\nshare = 0.2\nslack = 60\nwindow_s = 10\n",
      options_.name, options_.failure_domain, callers_address_, readiness_address_, addresses[2],
      options_.store_address);
}

gateway_child::~gateway_child() {
  Kill();
}

void gateway_child::Start() {
  TARRAGON_INVARIANT(process_ == 0, "the process runs already");
  std::string program = TARRAGON_GATEWAY_PROGRAM;
  std::string argument = "--settings=" + settings_file_;
  const std::array<char*, 3> arguments = {program.data(), argument.data(), nullptr};
  posix_spawn_file_actions_t files;
  posix_spawn_file_actions_init(&files);
  const std::string log = log_file();
  posix_spawn_file_actions_addopen(&files, STDOUT_FILENO, log.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND, 0600);
  posix_spawn_file_actions_adddup2(&files, STDOUT_FILENO, STDERR_FILENO);
  const int error =
      posix_spawn(&process_, program.c_str(), &files, nullptr, arguments.data(), environ);
  posix_spawn_file_actions_destroy(&files);
  TARRAGON_INVARIANT(error == 0, "the gateway cannot be started");
}

void gateway_child::Signal(int signal) const {
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

bool gateway_child::HasEnded() {
  if (process_ != 0 && ::waitpid(process_, &exit_status_, WNOHANG) == process_) {
    process_ = 0;
  }
  return process_ == 0;
}

}  // namespace tarragon::emulator
