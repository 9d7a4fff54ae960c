#ifndef TARRAGON_TESTS_EMULATOR_CALLER_CROWD_H_
#define TARRAGON_TESTS_EMULATOR_CALLER_CROWD_H_

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <cstddef>
#include <memory>
#include <string>
#include <vector>

namespace tarragon::emulator {

/** Connections that send fixed bytes to a gateway and never read what it sends. */
class caller_crowd final {
 public:
  caller_crowd(asio::io_context& loop, std::string address, std::size_t size);

  /** Connects, and sends these bytes on each connection. */
  void Send(const std::string& bytes);
  /** @return whether each connection has sent all its bytes or has been closed by the gateway. */
  bool is_done() const { return pending_ == 0; }
  /** Closes all connections. */
  void Leave();

 private:
  asio::io_context& loop_;
  std::string address_;
  std::vector<std::shared_ptr<asio::ip::tcp::socket>> sockets_;
  std::size_t pending_ = 0;
};

}  // namespace tarragon::emulator

#endif  // TARRAGON_TESTS_EMULATOR_CALLER_CROWD_H_
