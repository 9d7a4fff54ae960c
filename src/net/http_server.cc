#include "net/http_server.h"

#include <arpa/inet.h>
#include <fmt/format.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <cstring>
#include <functional>
#include <optional>
#include <utility>

#include "tarragon/base/invariant.h"
#include "tarragon/net/http_error.h"

namespace tarragon::net {

namespace {

using steady = std::chrono::steady_clock;

constexpr std::chrono::milliseconds kRefusalRetryAfter{1000};
constexpr int kListenBacklog = 1024;
// A refusal occupies its thread until the client closes, for at most `kLingerTimeout`.
constexpr std::size_t kMaxConcurrentRefusals = 16;
constexpr std::size_t kMaxRequestsPerConnection = 1'000'000;
constexpr std::size_t kReadBufferBytes = 4096;
constexpr std::chrono::milliseconds kPeerCheckInterval{100};
// An idle connection checks at this interval whether the server is stopping.
constexpr std::chrono::milliseconds kIdlePollInterval{50};
// After an early error response the rest of the request is read up to these limits, because closing
// a socket with unread data resets the connection, and the client could lose the response.
constexpr std::chrono::milliseconds kLingerTimeout{500};
constexpr std::size_t kMaxLingerBytes = std::size_t{4} << 20;
// The library does not limit chunked bodies. This allowance is for their chunk headers.
constexpr std::size_t kMaxFramingBytes = std::size_t{64} << 10;
constexpr std::size_t kMaxTargetBytes = 4096;
constexpr int kHttpBadRequest = 400;
constexpr int kHttpNotFound = 404;
constexpr int kHttpRequestTimeout = 408;
constexpr int kHttpTooLarge = 413;
constexpr int kHttpUnavailable = 503;
constexpr int kHttpUriTooLong = 414;
constexpr int kHttpHeadersTooLarge = 431;

thread_local http_connection* current_connection = nullptr;
// Set on the thread of a connection to refuse. The library passes the connection to the task queue
// as an opaque task, so the queue cannot mark the connection itself.
thread_local bool refuses_connections = false;

bool PollSocket(int socket, short events, std::chrono::milliseconds timeout) {
  pollfd descriptor{.fd = socket, .events = events, .revents = 0};
  return ::poll(&descriptor, 1, static_cast<int>(std::max<std::int64_t>(timeout.count(), 0))) > 0;
}

class connection final : public httplib::Stream, public http_connection {
 public:
  connection(int socket, const http_server_options& options) : socket_(socket), options_(options) {}

  /** Resets the time and size limits for the next request. */
  void BeginRequest() {
    deadline_ = steady::now() + options_.request_timeout;
    in_headers_ = true;
    header_bytes_ = 0;
    body_bytes_ = 0;
  }
  void EndHeaders() { in_headers_ = false; }

  bool timed_out() const { return timed_out_; }
  bool headers_too_large() const { return headers_too_large_; }
  bool body_too_large() const { return body_bytes_ > options_.max_body_bytes + kMaxFramingBytes; }
  bool in_headers() const { return in_headers_; }
  bool must_close() const { return must_close_; }
  bool HasBufferedData() const { return begin_ < end_; }

  // http_connection
  void CloseAfterResponse() override { must_close_ = true; }
  bool HasPeerClosed() const override {
    char byte = 0;
    const ssize_t size = ::recv(socket_, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return size == 0 || (size < 0 && errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR);
  }

  // httplib::Stream
  bool is_readable() const override { return HasBufferedData() || PollSocket(socket_, POLLIN, {}); }
  bool is_writable() const override {
    // The library calls this before each write. A write itself reports a broken connection, so the
    // system calls that detect an orderly close are made only every `kPeerCheckInterval`.
    const auto now = steady::now();
    if (now < next_peer_check_) {
      return true;
    }
    next_peer_check_ = now + kPeerCheckInterval;
    return !HasPeerClosed() && PollSocket(socket_, POLLOUT, options_.write_timeout);
  }
  ssize_t read(char* target, std::size_t size) override {
    if (!HasBufferedData() && !FillBuffer()) {
      return -1;
    }
    if (in_headers_ && ++header_bytes_ > options_.max_header_bytes) {
      headers_too_large_ = true;
      must_close_ = true;
      return -1;
    }
    // The library reads headers byte by byte, so the number of calls is the number of bytes.
    const std::size_t count = std::min(size, end_ - begin_);
    std::memcpy(target, buffer_.data() + begin_, count);
    begin_ += count;
    body_bytes_ += in_headers_ ? 0 : count;
    if (body_too_large()) {
      must_close_ = true;
      return -1;
    }
    return static_cast<ssize_t>(count);
  }
  ssize_t write(const char* data, std::size_t size) override {
    std::size_t sent = 0;
    while (sent < size) {
      const ssize_t count = ::send(socket_, data + sent, size - sent, MSG_NOSIGNAL | MSG_DONTWAIT);
      if (count > 0) {
        sent += static_cast<std::size_t>(count);
      } else if (count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) {
        if (!PollSocket(socket_, POLLOUT, options_.write_timeout)) {
          must_close_ = true;
          return -1;
        }
      } else if (count < 0 && errno != EINTR) {
        must_close_ = true;
        return -1;
      }
    }
    return static_cast<ssize_t>(size);
  }
  void get_remote_ip_and_port(std::string& ip, int& port) const override {
    GetAddress(&::getpeername, ip, port);
  }
  void get_local_ip_and_port(std::string& ip, int& port) const override {
    GetAddress(&::getsockname, ip, port);
  }
  socket_t socket() const override { return socket_; }

 private:
  bool FillBuffer() {
    const auto left = std::chrono::ceil<std::chrono::milliseconds>(deadline_ - steady::now());
    if (left.count() <= 0 || !PollSocket(socket_, POLLIN, left)) {
      timed_out_ = true;
      must_close_ = true;
      return false;
    }
    const ssize_t count = ::recv(socket_, buffer_.data(), buffer_.size(), 0);
    if (count <= 0) {
      must_close_ = true;
      return false;
    }
    begin_ = 0;
    end_ = static_cast<std::size_t>(count);
    return true;
  }

  template <typename F>
  void GetAddress(F get, std::string& ip, int& port) const {
    sockaddr_storage storage{};
    socklen_t size = sizeof(storage);
    std::array<char, INET6_ADDRSTRLEN> text{};
    if (get(socket_, reinterpret_cast<sockaddr*>(&storage), &size) != 0) {
      return;
    }
    if (storage.ss_family == AF_INET) {
      const auto* v4 = reinterpret_cast<const sockaddr_in*>(&storage);
      inet_ntop(AF_INET, &v4->sin_addr, text.data(), text.size());
      port = ntohs(v4->sin_port);
    } else if (storage.ss_family == AF_INET6) {
      const auto* v6 = reinterpret_cast<const sockaddr_in6*>(&storage);
      inet_ntop(AF_INET6, &v6->sin6_addr, text.data(), text.size());
      port = ntohs(v6->sin6_port);
    }
    ip = text.data();
  }

  const int socket_;
  const http_server_options& options_;
  steady::time_point deadline_;
  std::array<char, kReadBufferBytes> buffer_{};
  std::size_t begin_ = 0;
  std::size_t end_ = 0;
  mutable steady::time_point next_peer_check_;
  std::size_t header_bytes_ = 0;
  std::size_t body_bytes_ = 0;
  bool in_headers_ = false;
  bool headers_too_large_ = false;
  bool timed_out_ = false;
  bool must_close_ = false;
};

/** Closes the sending side and lets the client read the response before closing the socket. */
void CloseWithLinger(int socket) {
  ::shutdown(socket, SHUT_WR);
  std::array<char, kReadBufferBytes> dropped{};
  const auto deadline = steady::now() + kLingerTimeout;
  std::size_t total = 0;
  while (total < kMaxLingerBytes) {
    const auto left = std::chrono::ceil<std::chrono::milliseconds>(deadline - steady::now());
    if (left.count() <= 0 || !PollSocket(socket, POLLIN, left)) {
      break;
    }
    const ssize_t count = ::recv(socket, dropped.data(), dropped.size(), 0);
    if (count <= 0) {
      break;
    }
    total += static_cast<std::size_t>(count);
  }
  ::close(socket);
}

class task_queue final : public httplib::TaskQueue {
 public:
  task_queue(thread_pool& threads, thread_pool& refusal_threads)
      : threads_(threads), refusal_threads_(refusal_threads) {}
  void enqueue(std::function<void()> task) override {
    if (threads_.TryRun(task)) {
      return;
    }
    refusal_threads_.Run([task = std::move(task)] {
      refuses_connections = true;
      task();
    });
  }
  void shutdown() override {
    threads_.Stop();
    refusal_threads_.Stop();
  }

 private:
  thread_pool& threads_;
  thread_pool& refusal_threads_;
};

void SetError(httplib::Response& response, int status, std::string code, std::string message) {
  const http_error error{.status = status, .code = std::move(code), .message = std::move(message)};
  response.status = status;
  response.set_header("Run-Verdict", std::string(ToString(error.verdict)));
  response.set_header("Connection", "close");
  response.set_content(error.Body(), "application/json");
  http_connection::Current().CloseAfterResponse();
}

/** Responds with 503 without reading the request, so the verdict is `not-run`. */
void SendRefusal(connection& current) {
  const http_error error{.status = kHttpUnavailable,
                         .code = "too_many_connections",
                         .message = "the entry has reached its connection limit"};
  const std::string body = error.Body();
  const std::string response = fmt::format(
      "HTTP/1.1 503 Service Unavailable\r\nRun-Verdict: {}\r\nRetry-After: {}\r\n"
      "Content-Type: application/json\r\nContent-Length: {}\r\nConnection: close\r\n\r\n{}",
      ToString(error.verdict), RetryAfterSeconds(kRefusalRetryAfter), body.size(), body);
  current.write(response.data(), response.size());
}

/** Replaces an error response of the library by one in the common error format. */
void ReplaceLibraryError(httplib::Response& response) {
  const auto& current = static_cast<connection&>(http_connection::Current());
  if (current.timed_out()) {
    SetError(response, kHttpRequestTimeout, "request_timeout",
             "the request was not received within the time limit");
  } else if (current.headers_too_large()) {
    SetError(response, kHttpHeadersTooLarge, "headers_too_large",
             "the headers exceed the size limit");
  } else if (current.body_too_large() || response.status == kHttpTooLarge) {
    SetError(response, kHttpTooLarge, "body_too_large", "the body exceeds the size limit");
  } else if (response.status == kHttpNotFound) {
    SetError(response, kHttpNotFound, "not_found", "the path does not exist");
  } else {
    SetError(response, response.status, "bad_request", "the request could not be parsed");
  }
}

}  // namespace

http_connection& http_connection::Current() {
  TARRAGON_INVARIANT(current_connection != nullptr,
                     "http_connection::Current() called outside a handler");
  return *current_connection;
}

http_server::http_server(http_server_options options, handler on_request)
    : options_(options),
      threads_(options.max_connections),
      refusal_threads_(kMaxConcurrentRefusals) {
  new_task_queue = [this] { return new task_queue(threads_, refusal_threads_); };
  // The library sets SO_REUSEPORT by default, which would let a second process bind the same
  // address and receive part of the connections.
  set_socket_options([](socket_t socket) {
    const int on = 1;
    ::setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  });
  set_payload_max_length(options_.max_body_bytes);
  set_keep_alive_max_count(kMaxRequestsPerConnection);
  set_pre_routing_handler([this](const httplib::Request& request, httplib::Response& response) {
    return ValidateHeaders(request, response);
  });
  set_error_handler(HandlerWithResponse([](const httplib::Request&, httplib::Response& response) {
    if (!response.body.empty() || response.has_header("Run-Verdict")) {
      return HandlerResponse::Unhandled;
    }
    ReplaceLibraryError(response);
    return HandlerResponse::Handled;
  }));
  // The handler dispatches by path, because the regular expressions of the library recurse for each
  // byte of a path.
  const handler size_limited_handler =
      [limit = options_.max_body_bytes, on_request = std::move(on_request)](
          const httplib::Request& request, httplib::Response& response) {
        if (request.body.size() > limit) {
          SetError(response, kHttpTooLarge, "body_too_large", "the body exceeds the size limit");
        } else {
          on_request(request, response);
        }
      };
  const std::string any_path = "/.*";
  Get(any_path, size_limited_handler)
      .Post(any_path, size_limited_handler)
      .Put(any_path, size_limited_handler);
  Patch(any_path, size_limited_handler)
      .Delete(any_path, size_limited_handler)
      .Options(any_path, size_limited_handler);
}

http_server::~http_server() {
  Stop();
}

bool http_server::Bind(const socket_address& address) {
  port_ = address.port == 0 ? bind_to_any_port(address.ip)
                            : (bind_to_port(address.ip, address.port) ? address.port : -1);
  // The library listens with a backlog of 5, which drops connections when many arrive at once.
  return port_ > 0 && ::listen(svr_sock_, kListenBacklog) == 0;
}

void http_server::Start() {
  acceptor_ = std::thread([this] { listen_after_bind(); });
  while (!is_running()) {
    std::this_thread::yield();
  }
}

void http_server::Stop() {
  if (acceptor_.joinable()) {
    stop();
    threads_.Stop();
    refusal_threads_.Stop();
    acceptor_.join();
  }
}

httplib::Server::HandlerResponse http_server::ValidateHeaders(const httplib::Request& request,
                                                              httplib::Response& response) {
  const auto reject = [&](int status, std::string code, std::string message) {
    SetError(response, status, std::move(code), std::move(message));
    return HandlerResponse::Handled;
  };
  if (request.headers.size() > options_.max_headers) {
    return reject(kHttpHeadersTooLarge, "too_many_headers",
                  fmt::format("expected at most {} headers", options_.max_headers));
  }
  if (request.target.size() > kMaxTargetBytes) {
    return reject(kHttpUriTooLong, "uri_too_long",
                  fmt::format("expected a target of at most {} bytes", kMaxTargetBytes));
  }
  const std::size_t lengths = request.get_header_value_count("Content-Length");
  const std::size_t encodings = request.get_header_value_count("Transfer-Encoding");
  // Rejects requests whose end two parsers could place differently (request smuggling).
  if (lengths + encodings != 1 ||
      (encodings == 1 && request.get_header_value("Transfer-Encoding") != "chunked")) {
    return reject(kHttpBadRequest, "bad_framing",
                  "expected one Content-Length header or chunked encoding");
  }
  if (lengths == 1) {
    const std::string text = request.get_header_value("Content-Length");
    std::uint64_t length = 0;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), length);
    if (parsed.ec != std::errc() || parsed.ptr != text.data() + text.size()) {
      return reject(kHttpBadRequest, "bad_framing", "Content-Length: expected a number");
    }
    if (length > options_.max_body_bytes) {
      return reject(kHttpTooLarge, "body_too_large",
                    fmt::format("expected a body of at most {} bytes", options_.max_body_bytes));
    }
  }
  return HandlerResponse::Unhandled;
}

bool http_server::process_and_close_socket(socket_t socket) {
  const int on = 1;
  ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  connection current(socket, options_);
  if (refuses_connections) {
    SendRefusal(current);
    CloseWithLinger(socket);
    return true;
  }
  current_connection = &current;
  bool open = true;
  while (open) {
    const auto idle_until = steady::now() + options_.idle_timeout;
    bool readable = current.HasBufferedData();
    while (!readable && svr_sock_ != INVALID_SOCKET && steady::now() < idle_until) {
      readable = PollSocket(socket, POLLIN, kIdlePollInterval);
    }
    if (!readable || svr_sock_ == INVALID_SOCKET) {
      break;
    }
    current.BeginRequest();
    bool closed_by_request = false;
    const bool answered = process_request(
        current, /*close_connection=*/false, closed_by_request,
        [&current](httplib::Request& request) {
          current.EndHeaders();
          // A request with neither of these headers has no body, but the library would read until
          // the connection ends.
          if (!request.has_header("Content-Length") && !request.has_header("Transfer-Encoding")) {
            request.headers.emplace("Content-Length", "0");
          }
        });
    open = answered && !closed_by_request && !current.must_close() && !current.in_headers();
  }
  current_connection = nullptr;
  CloseWithLinger(socket);
  return true;
}

}  // namespace tarragon::net
