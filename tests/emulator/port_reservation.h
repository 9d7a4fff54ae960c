#ifndef TARRAGON_TESTS_EMULATOR_PORT_RESERVATION_H_
#define TARRAGON_TESTS_EMULATOR_PORT_RESERVATION_H_

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <cstddef>
#include <vector>

namespace tarragon::emulator {

/**
 * @return sockets that reserve free ports for sockets that set `SO_REUSEADDR`. No other test
 * process uses these, and no outgoing connection, since they lie below the range of ephemeral
 * ports.
 */
std::vector<asio::ip::tcp::acceptor> ReservePorts(asio::io_context& loop, std::size_t count);

}  // namespace tarragon::emulator

#endif  // TARRAGON_TESTS_EMULATOR_PORT_RESERVATION_H_
