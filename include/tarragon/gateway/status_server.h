#ifndef TARRAGON_GATEWAY_STATUS_SERVER_H_
#define TARRAGON_GATEWAY_STATUS_SERVER_H_

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace tarragon::gateway {

/** HTTP server for the load balancer's readiness checks and for monitoring, not for callers. */
class status_server final {
 public:
  struct response {
    int status = 404;
    std::string body;
  };
  /** @param path request path without the query. */
  using handler = std::function<response(std::string_view path)>;

  status_server(asio::io_context& loop, handler on_request);

  /** @param address `ip:port`. @return false if the address cannot be listened on. */
  bool Listen(const std::string& address);
  void Close();

 private:
  class connection;

  void Accept();

  asio::io_context& loop_;
  asio::ip::tcp::acceptor acceptor_;
  handler handler_;
};

/** Opens a listening socket. @return false if that fails. */
bool OpenAcceptor(asio::ip::tcp::acceptor& acceptor, const std::string& address);

}  // namespace tarragon::gateway

#endif  // TARRAGON_GATEWAY_STATUS_SERVER_H_
