#ifndef TARRAGON_SRC_NET_HTTP_SERVER_H_
#define TARRAGON_SRC_NET_HTTP_SERVER_H_

#include <atomic>
#include <chrono>
#include <cstddef>
#include <memory>
#include <string>
#include <thread>

#include <httplib.h>
#include "tarragon/net/socket_address.h"
#include "tarragon/net/thread_pool.h"

namespace tarragon::net {

struct http_server_options {
  /** Open connections; each has a thread. Further ones are refused with 503 and `not-run`. */
  std::size_t max_connections = 1024;
  std::size_t max_body_bytes = std::size_t{1} << 20;
  std::size_t max_header_bytes = std::size_t{32} << 10;
  std::size_t max_headers = 100;
  /** Time for a whole request to arrive, from its first byte. */
  std::chrono::milliseconds request_timeout{10000};
  /** Time that a connection may be idle between two requests. */
  std::chrono::milliseconds idle_timeout{5000};
  /** Time that the client may take no byte before it counts as gone. */
  std::chrono::milliseconds write_timeout{5000};
};

/** Connection that the calling handler answers on. */
class http_connection {
 public:
  virtual ~http_connection() = default;
  /** @return true if the client closed the connection or its sending side. */
  virtual bool IsPeerGone() const = 0;
  /** The connection is closed after the answer. */
  virtual void CloseAfterAnswer() = 0;

  /** @return the connection of the calling thread; only valid inside a handler. */
  static http_connection& Current();
};

/**
 * HTTP server with limits on time and size that the library's own connection loop does not have: a
 * deadline for a whole request, a bound on headers, and detection of clients that went away.
 */
class http_server final : public httplib::Server {
 public:
  using handler = httplib::Server::Handler;

  /** @param handle answers every request that passed the limits, for all methods and paths. */
  http_server(http_server_options options, handler handle);
  ~http_server() override;

  /** @param address port 0 picks a free one. @return false if the address cannot be bound. */
  bool Bind(const socket_address& address);
  int port() const { return port_; }
  /** Starts to accept connections. `Bind` must have succeeded. */
  void Start();
  /** Closes the listening socket, waits for running handlers; streams are cut. Idempotent. */
  void Stop();

 private:
  bool process_and_close_socket(socket_t socket) override;
  httplib::Server::HandlerResponse CheckBeforeBody(const httplib::Request& request,
                                                   httplib::Response& response);

  const http_server_options options_;
  thread_pool threads_;
  /** Answers connections that no thread is free for. */
  thread_pool refusals_;
  std::thread acceptor_;
  int port_ = 0;
};

}  // namespace tarragon::net

#endif  // TARRAGON_SRC_NET_HTTP_SERVER_H_
