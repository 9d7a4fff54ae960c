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

/** One accepted or opened TCP connection on loopback, written and read byte by byte. */
class raw_connection final {
 public:
  explicit raw_connection(int socket) : socket_(socket) {}
  /** Connects to a port of this machine. */
  static raw_connection Connect(int port, int receive_buffer_bytes = 0);
  ~raw_connection();
  raw_connection(raw_connection&& other) noexcept;
  raw_connection(const raw_connection&) = delete;
  raw_connection& operator=(const raw_connection&) = delete;

  bool Write(std::string_view data) const;
  /** Reads until `end` appeared in what was read, the peer closed, or 20 s passed. */
  std::string ReadUntil(std::string_view end) const;
  std::string ReadAll() const { return ReadUntil(std::string(1, '\0') + "never"); }
  /** Reads a request with its body. */
  std::string ReadRequest() const;
  void CloseSending() const;
  /** Waits until the peer closes the connection. */
  void WaitForClose() const;
  void Close();

 private:
  int socket_;
};

/** Endpoint whose bytes a test chooses: calls `handler` on a thread for each connection. */
class raw_server final {
 public:
  /** Answers one connection; gets the request as received. */
  using handler = std::function<void(const std::string& request, raw_connection& connection)>;

  explicit raw_server(handler handle);
  ~raw_server();

  int port() const { return port_; }
  std::string address() const;
  int connections() const { return connections_; }

 private:
  void Accept();

  handler handle_;
  int port_ = 0;
  int socket_ = -1;
  std::atomic<int> connections_{0};
  std::atomic<bool> stopped_{false};
  std::mutex mutex_;
  std::vector<std::thread> threads_;
  std::thread acceptor_;
};

/** @return a port of this machine that refuses connections. */
int ClosedPort();

/** Header of an endpoint's answer that is an event stream without a length. */
inline constexpr std::string_view kStreamHeader =
    "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n";

/** @return one event of the engines' protocol. */
std::string TokenEvent(int index, std::string_view text);

inline constexpr std::string_view kDoneEvent = "data: [DONE]\n\n";

}  // namespace tarragon::net

#endif  // TARRAGON_TESTS_NET_RAW_SERVER_H_
