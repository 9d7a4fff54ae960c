#ifndef TARRAGON_TESTS_EMULATOR_HTTP_SERVICE_H_
#define TARRAGON_TESTS_EMULATOR_HTTP_SERVICE_H_

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "tarragon/http/header_list.h"
#include "tarragon/http/message_reader.h"

namespace tarragon::emulator {

struct incoming_request {
  http::message_head head;
  std::string body;

  /** @return the value of a header, or empty. */
  std::string Header(std::string_view name) const;
  /** @return the percent-decoded value of a query parameter, or empty. */
  std::string Query(std::string_view name) const;
  std::string Path() const { return head.target.substr(0, head.target.find('?')); }
};

/** Sends the response to one request. Calls after the connection has closed have no effect. */
class responder {
 public:
  virtual ~responder() = default;
  virtual void SendWhole(int status,
                         const std::vector<http::header>& headers,
                         std::string_view body) = 0;
  /** Starts a response with status 200. @param is_chunked otherwise its connection ends it. */
  virtual void BeginStream(const std::vector<http::header>& headers, bool is_chunked) = 0;
  virtual void SendChunk(std::string_view bytes) = 0;
  virtual void EndStream() = 0;
  /** Resets the connection. */
  virtual void Reset() = 0;
  virtual bool is_closed() const = 0;
  /** Called once if the connection closes before the response is complete. */
  std::function<void()> on_closed;
};

using responder_ptr = std::shared_ptr<responder>;

/** HTTP/1.1 server on a free loopback port; runs on the thread of the I/O loop. */
class http_service final {
 public:
  using handler = std::function<void(const incoming_request&, const responder_ptr&)>;

  http_service(asio::io_context& loop, handler on_request);
  ~http_service();

  /** @return `ip:port`. */
  std::string address() const { return address_; }

  /** Stops listening and resets all open connections. */
  void Close();
  /** Listens again at the same address. */
  void Reopen();
  /** Like `Close`, but keeps the port from being used by others. */
  void Suspend();
  /** Ends `Suspend`. */
  void Resume();

 private:
  class connection;

  void Accept();
  void ResetConnections();
  asio::ip::tcp::endpoint LocalEndpoint() const;

  asio::io_context& loop_;
  asio::ip::tcp::acceptor acceptor_;
  handler on_request_;
  std::string address_;
  std::vector<std::weak_ptr<connection>> connections_;
};

}  // namespace tarragon::emulator

#endif  // TARRAGON_TESTS_EMULATOR_HTTP_SERVICE_H_
