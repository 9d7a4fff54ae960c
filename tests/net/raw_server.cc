#include "net/raw_server.h"

#include <arpa/inet.h>
#include <fmt/format.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <charconv>
#include <utility>

#include "tarragon/base/invariant.h"

namespace tarragon::net {

namespace {

constexpr int kReadTimeoutMs = 20'000;
constexpr int kAcceptPollMs = 20;

sockaddr_in Loopback(int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}

int Bind(int& port) {
  const int socket = ::socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in address = Loopback(0);
  socklen_t size = sizeof(address);
  TARRAGON_INVARIANT(::bind(socket, reinterpret_cast<sockaddr*>(&address), size) == 0,
                     "cannot bind a loopback port");
  ::getsockname(socket, reinterpret_cast<sockaddr*>(&address), &size);
  port = ntohs(address.sin_port);
  return socket;
}

bool IsReadable(int socket, int timeout_ms) {
  pollfd descriptor{.fd = socket, .events = POLLIN, .revents = 0};
  return ::poll(&descriptor, 1, timeout_ms) > 0;
}

}  // namespace

raw_connection raw_connection::Connect(int port, int receive_buffer_bytes) {
  const int socket = ::socket(AF_INET, SOCK_STREAM, 0);
  if (receive_buffer_bytes > 0) {
    ::setsockopt(socket, SOL_SOCKET, SO_RCVBUF, &receive_buffer_bytes,
                 sizeof(receive_buffer_bytes));
  }
  const sockaddr_in address = Loopback(port);
  TARRAGON_INVARIANT(
      ::connect(socket, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) == 0,
      "cannot connect to the loopback port");
  return raw_connection(socket);
}

raw_connection::~raw_connection() {
  Close();
}

raw_connection::raw_connection(raw_connection&& other) noexcept
    : socket_(std::exchange(other.socket_, -1)) {}

void raw_connection::Close() {
  if (socket_ >= 0) {
    ::close(std::exchange(socket_, -1));
  }
}

bool raw_connection::Write(std::string_view data) const {
  while (!data.empty()) {
    const ssize_t count = ::send(socket_, data.data(), data.size(), MSG_NOSIGNAL);
    if (count <= 0) {
      return false;
    }
    data.remove_prefix(static_cast<std::size_t>(count));
  }
  return true;
}

std::string raw_connection::ReadUntil(std::string_view end) const {
  std::string text;
  std::array<char, 4096> buffer{};
  while (text.find(end) == std::string::npos && IsReadable(socket_, kReadTimeoutMs)) {
    const ssize_t count = ::recv(socket_, buffer.data(), buffer.size(), 0);
    if (count <= 0) {
      break;
    }
    text.append(buffer.data(), static_cast<std::size_t>(count));
  }
  return text;
}

std::string raw_connection::ReadRequest() const {
  std::string text = ReadUntil("\r\n\r\n");
  const std::size_t body = text.find("\r\n\r\n");
  constexpr std::string_view kLength = "Content-Length: ";
  const std::size_t header = text.find(kLength);
  if (body == std::string::npos || header == std::string::npos) {
    return text;
  }
  std::size_t length = 0;
  std::from_chars(text.data() + header + kLength.size(), text.data() + text.size(), length);
  std::array<char, 4096> buffer{};
  while (text.size() < body + 4 + length && IsReadable(socket_, kReadTimeoutMs)) {
    const ssize_t count = ::recv(socket_, buffer.data(), buffer.size(), 0);
    if (count <= 0) {
      break;
    }
    text.append(buffer.data(), static_cast<std::size_t>(count));
  }
  return text;
}

void raw_connection::CloseSending() const {
  ::shutdown(socket_, SHUT_WR);
}

void raw_connection::WaitForClose() const {
  std::array<char, 4096> buffer{};
  while (IsReadable(socket_, kReadTimeoutMs) &&
         ::recv(socket_, buffer.data(), buffer.size(), 0) > 0) {
  }
}

raw_server::raw_server(handler on_request)
    : on_request_(std::move(on_request)), socket_(Bind(port_)) {
  TARRAGON_INVARIANT(::listen(socket_, 128) == 0, "cannot listen on the loopback port");
  acceptor_ = std::thread([this] { Accept(); });
}

raw_server::~raw_server() {
  stopped_ = true;
  acceptor_.join();
  ::close(socket_);
  for (std::thread& thread : threads_) {
    thread.join();
  }
}

void raw_server::Accept() {
  while (!stopped_) {
    if (!IsReadable(socket_, kAcceptPollMs)) {
      continue;
    }
    const int accepted = ::accept(socket_, nullptr, nullptr);
    if (accepted >= 0) {
      ++connections_;
      threads_.emplace_back([this, accepted] {
        raw_connection connection(accepted);
        const std::string request = connection.ReadRequest();
        on_request_(request, connection);
      });
    }
  }
}

std::string raw_server::address() const {
  return fmt::format("127.0.0.1:{}", port_);
}

int ClosedPort() {
  int port = 0;
  ::close(Bind(port));
  return port;
}

std::string TokenEvent(int index, std::string_view text) {
  return fmt::format(
      "id: {}\ndata: {{\"choices\":[{{\"text\":\"{}\",\"index\":0,\"finish_reason\":null}}]}}\n\n",
      index, text);
}

}  // namespace tarragon::net
