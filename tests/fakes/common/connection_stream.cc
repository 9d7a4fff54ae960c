#include "fakes/common/connection_stream.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>

#include <cerrno>

namespace tarragon::fakes {

namespace {

// A read fails if no byte arrives for this long.
constexpr int kReadTimeoutMs = 30'000;
constexpr int kWriteTimeoutMs = 30'000;
constexpr int kSilencePollMs = 50;

using name_function = int (*)(int, sockaddr*, socklen_t*);

void GetName(name_function get_name, socket_t from, std::string& ip, int& port) {
  sockaddr_in address{};
  socklen_t length = sizeof(address);
  if (get_name(from, reinterpret_cast<sockaddr*>(&address), &length) != 0) {
    return;
  }
  char text[INET_ADDRSTRLEN] = {};
  inet_ntop(AF_INET, &address.sin_addr, text, sizeof(text));
  ip = text;
  port = ntohs(address.sin_port);
}

bool PollFor(socket_t polled, short events, int timeout_ms) {
  pollfd entry{polled, events, 0};
  return poll(&entry, 1, timeout_ms) > 0;
}

}  // namespace

connection_stream::connection_stream(socket_t connected, const std::atomic<bool>& silenced)
    : socket_(connected), silenced_(silenced) {}

bool connection_stream::is_readable() const {
  return PollFor(socket_, POLLIN, 0);
}

bool connection_stream::is_writable() const {
  // A silenced connection counts as writable, whether or not the peer has closed it.
  return !dropped_ && (IsSilenced() || !PollFor(socket_, POLLRDHUP, 0));
}

ssize_t connection_stream::read(char* ptr, size_t size) {
  for (int waited = 0; waited < kReadTimeoutMs; waited += kSilencePollMs) {
    if (IsSilenced()) {
      WaitIfSilenced();
      return 0;
    }
    if (PollFor(socket_, POLLIN, kSilencePollMs)) {
      break;
    }
  }
  if (IsSilenced()) {
    WaitIfSilenced();
    return 0;
  }
  return recv(socket_, ptr, size, MSG_DONTWAIT);
}

ssize_t connection_stream::write(const char* ptr, size_t size) {
  if (dropped_) {
    return -1;
  }
  size_t sent = 0;
  while (sent < size && !IsSilenced()) {
    const ssize_t n = send(socket_, ptr + sent, size - sent, MSG_NOSIGNAL | MSG_DONTWAIT);
    if (n > 0) {
      sent += static_cast<size_t>(n);
      continue;
    }
    if (errno != EAGAIN || !PollFor(socket_, POLLOUT, kWriteTimeoutMs)) {
      return -1;
    }
  }
  return static_cast<ssize_t>(size);
}

void connection_stream::get_remote_ip_and_port(std::string& ip, int& port) const {
  GetName(&getpeername, socket_, ip, port);
}

void connection_stream::get_local_ip_and_port(std::string& ip, int& port) const {
  GetName(&getsockname, socket_, ip, port);
}

void connection_stream::WaitIfSilenced() const {
  while (IsSilenced() && !PollFor(socket_, POLLRDHUP, kReadTimeoutMs)) {
  }
}

}  // namespace tarragon::fakes
