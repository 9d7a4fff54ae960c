#ifndef TARRAGON_TESTS_NET_RAW_SERVER_H_
#define TARRAGON_TESTS_NET_RAW_SERVER_H_

#include <atomic>
#include <functional>
#include <mutex>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

namespace tarragon::net {

/** A TCP connection on loopback, accepted or opened, that a test reads and writes as raw bytes. */
class raw_connection final {
 public:
  explicit raw_connection(int socket) : socket_(socket) {}
  /** Connects to a port on loopback. */
  static raw_connection Connect(int port, int receive_buffer_bytes = 0);
  ~raw_connection();
  raw_connection(raw_connection&& other) noexcept;
  raw_connection(const raw_connection&) = delete;
  raw_connection& operator=(const raw_connection&) = delete;

  bool Write(std::string_view data) const;
  /** Reads until the text contains `end`, the peer closes, or no byte arrives for 20 s. */
  std::string ReadUntil(std::string_view end) const;
  /** Reads until the peer closes or is silent. The terminator occurs in no data of the tests. */
  std::string ReadAll() const { return ReadUntil(std::string(1, '\0') + "never"); }
  /** Reads the headers and body of one HTTP request. */
  std::string ReadRequest() const;
  void CloseSending() const;
  /** Waits until the peer closes the connection. */
  void WaitForClose() const;
  void Close();

 private:
  int socket_;
};

/** Test endpoint that calls a handler on a new thread for each connection. */
class raw_server final {
 public:
  /** Gets the request as received and writes the response to the connection. */
  using handler = std::function<void(const std::string& request, raw_connection& connection)>;

  explicit raw_server(handler on_request);
  ~raw_server();

  int port() const { return port_; }
  std::string address() const;
  int connections() const { return connections_; }

 private:
  void Accept();

  handler on_request_;
  int port_ = 0;
  int socket_ = -1;
  std::atomic<int> connections_{0};
  std::atomic<bool> stopped_{false};
  std::mutex mutex_;
  std::vector<std::thread> threads_;
  std::thread acceptor_;
};

/** @return a loopback port that refuses connections. */
int ClosedPort();

/** Headers of an event stream response without a `Content-Length`. */
inline constexpr std::string_view kStreamHeader =
    "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n";

/** @return one token event in the protocol of the engines. */
std::string TokenEvent(int index, std::string_view text);

inline constexpr std::string_view kDoneEvent = "data: [DONE]\n\n";

}  // namespace tarragon::net

#endif  // TARRAGON_TESTS_NET_RAW_SERVER_H_
