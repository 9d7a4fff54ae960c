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
  /** Open connections, one thread each. Further ones get a 503 with the verdict `not-run`. */
  std::size_t max_connections = 1024;
  std::size_t max_body_bytes = std::size_t{1} << 20;
  std::size_t max_header_bytes = std::size_t{32} << 10;
  std::size_t max_headers = 100;
  /** Limit on the time from the first byte of a request to its last. */
  std::chrono::milliseconds request_timeout{10000};
  /** Limit on the idle time of a connection between two requests. */
  std::chrono::milliseconds idle_timeout{5000};
  /** A client that accepts no byte for this long counts as disconnected. */
  std::chrono::milliseconds write_timeout{5000};
};

/** Connection that the current handler responds on. */
class http_connection {
 public:
  virtual ~http_connection() = default;
  /** @return true if the client closed the connection or its sending side. */
  virtual bool HasPeerClosed() const = 0;
  /** Marks the connection to be closed after the response. */
  virtual void CloseAfterResponse() = 0;

  /** @return the connection of the calling thread; only valid inside a handler. */
  static http_connection& Current();
};

/**
 * HTTP server with limits that the connection loop of the library lacks: a deadline for receiving a
 * request, a limit on headers, and detection of disconnected clients.
 */
class http_server final : public httplib::Server {
 public:
  using handler = httplib::Server::Handler;

  /** @param on_request called for each request within the limits, whatever its method and path. */
  http_server(http_server_options options, handler on_request);
  ~http_server() override;

  /** @param address port 0 selects a free port. @return false if the address cannot be bound. */
  bool Bind(const socket_address& address);
  int port() const { return port_; }
  /** Starts to accept connections. `Bind` must have succeeded. */
  void Start();
  /** Closes the listening socket and waits for running handlers; aborts streams. Idempotent. */
  void Stop();

 private:
  bool process_and_close_socket(socket_t socket) override;
  httplib::Server::HandlerResponse ValidateHeaders(const httplib::Request& request,
                                                   httplib::Response& response);

  const http_server_options options_;
  thread_pool threads_;
  /** Sends the 503 response on connections beyond `max_connections`. */
  thread_pool refusal_threads_;
  std::thread acceptor_;
  int port_ = 0;
};

}  // namespace tarragon::net

#endif  // TARRAGON_SRC_NET_HTTP_SERVER_H_
