#include "emulator/port_reservation.h"

#include <fcntl.h>
#include <fmt/format.h>
#include <sys/file.h>
#include <unistd.h>

#include <asio/ip/udp.hpp>
#include <asio/socket_base.hpp>
#include <cstdint>
#include <filesystem>
#include <utility>

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

}  // namespace

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

}  // namespace tarragon::emulator
