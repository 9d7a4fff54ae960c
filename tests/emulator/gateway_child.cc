#include "emulator/gateway_child.h"

#include <fcntl.h>
#include <fmt/format.h>
#include <spawn.h>
#include <sys/file.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <asio/io_context.hpp>
#include <asio/ip/udp.hpp>
#include <asio/socket_base.hpp>
#include <csignal>
#include <cstdint>
#include <filesystem>
#include <fstream>
#include <utility>
#include <vector>

#include "tarragon/base/invariant.h"

namespace tarragon::emulator {

namespace {

constexpr unsigned kFirstPort = 10'000;
constexpr unsigned kBlocks = 20;
constexpr unsigned kPortsPerBlock = 500;

/**
 * @return first port of a block that no other test process uses until this one ends. The ports lie
 *     below the range of ephemeral ports.
 */
unsigned ClaimPortBlock() {
  const std::filesystem::path folder = std::filesystem::temp_directory_path();
  for (unsigned tried = 0; tried < kBlocks; ++tried) {
    const unsigned block = (static_cast<unsigned>(::getpid()) + tried) % kBlocks;
    const std::string path = folder / fmt::format("tarragon-ports-{}.lock", block);
    const int lock = ::open(path.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0666);
    if (lock >= 0 && ::flock(lock, LOCK_EX | LOCK_NB) == 0) {
      return kFirstPort + block * kPortsPerBlock;
    }
    ::close(lock);
  }
  TARRAGON_INVARIANT(false, "all blocks of ports are in use");
  return 0;
}

/** @return whether no socket is bound to the UDP port, which a gateway uses beside the TCP port. */
bool IsUdpPortFree(asio::io_context& loop, std::uint16_t port) {
  asio::ip::udp::socket socket(loop, asio::ip::udp::v4());
  asio::error_code error;
  socket.bind({asio::ip::address_v4::loopback(), port}, error);
  return !error;
}

/** @return sockets that reserve free ports for a process that sets `SO_REUSEADDR`. */
std::vector<asio::ip::tcp::acceptor> ReservePorts(asio::io_context& loop, std::size_t count) {
  static const unsigned kBlockStart = ClaimPortBlock();
  static unsigned next_port = 0;
  std::vector<asio::ip::tcp::acceptor> reserved;
  while (reserved.size() < count) {
    const auto port = static_cast<std::uint16_t>(kBlockStart + next_port++ % kPortsPerBlock);
    asio::ip::tcp::acceptor acceptor(loop, asio::ip::tcp::v4());
    asio::error_code error;
    acceptor.bind({asio::ip::address_v4::loopback(), port}, error);
    if (!error && IsUdpPortFree(loop, port)) {
      // Set only now: with this option, two searches could bind the same port.
      acceptor.set_option(asio::socket_base::reuse_address(true));
      reserved.push_back(std::move(acceptor));
    }
  }
  return reserved;
}

std::string AddressOf(const asio::ip::tcp::acceptor& acceptor) {
  return fmt::format("127.0.0.1:{}", acceptor.local_endpoint().port());
}

}  // namespace

gateway_child::gateway_child(gateway_options options)
    : options_(std::move(options)),
      reserved_(ReservePorts(loop_, 3)),
      callers_address_(AddressOf(reserved_[0])),
      readiness_address_(AddressOf(reserved_[1])) {
  settings_file_ = options_.folder + "/" + options_.name + ".toml";
  std::ofstream(settings_file_) << fmt::format(
      "[vm]\nname = \"{}\"\nfailure_domain = \"{}\"\n"
      "[listen]\ncallers = \"{}\"\nreadiness = \"{}\"\npeers = \"{}\"\n"
      "[store]\naddress = \"{}\"\n[shutdown]\ngrace_s = 8\n"
      "[retries]\nshare = 0.2\nslack = 60\nwindow_s = 10\n{}",
      options_.name, options_.failure_domain, callers_address_, readiness_address_,
      AddressOf(reserved_[2]), options_.store_address, options_.further_settings);
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
