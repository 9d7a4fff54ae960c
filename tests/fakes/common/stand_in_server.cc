#include "fakes/common/stand_in_server.h"

#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <charconv>
#include <csignal>
#include <cstdlib>
#include <functional>
#include <thread>
#include <utility>

#include "fakes/common/connection_stream.h"
#include "fakes/common/thread_per_task.h"
#include "tarragon/base/log.h"

namespace tarragon::fakes {

namespace {

// cpp-httplib listens with a backlog of 5; in a burst of connects the kernel would drop some, and
// the clients would retransmit them only after 1 s.
constexpr int kListenBacklog = 1024;
constexpr int kIdleTimeoutMs = 60'000;
constexpr size_t kMaxBodyBytes = size_t{8} << 20;

thread_local connection_stream* current_connection = nullptr;

sigset_t ShutdownSignals() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  return signals;
}

void ExitOnSignal() {
  const sigset_t signals = ShutdownSignals();
  int number = 0;
  sigwait(&signals, &number);
  LogEvent("stopped", {{"signal", number}});
  std::_Exit(0);
}

}  // namespace

stand_in_server::stand_in_server(duration link_delay) : link_delay_(link_delay) {
  const sigset_t signals = ShutdownSignals();
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  new_task_queue = [] { return new thread_per_task(); };
  set_tcp_nodelay(true);
  set_keep_alive_max_count(1'000'000);
  set_keep_alive_timeout(kIdleTimeoutMs / 1000);
  set_payload_max_length(kMaxBodyBytes);
  set_post_routing_handler([this](const httplib::Request&, httplib::Response&) {
    std::this_thread::sleep_for(link_delay_);
  });
}

bool stand_in_server::Bind(const std::string& address) {
  const size_t colon = address.rfind(':');
  if (colon == std::string::npos) {
    return false;
  }
  int port = 0;
  const char* end = address.data() + address.size();
  const auto [last, error] = std::from_chars(address.data() + colon + 1, end, port);
  if (error != std::errc() || last != end || !bind_to_port(address.substr(0, colon), port)) {
    return false;
  }
  return ::listen(svr_sock_, kListenBacklog) == 0;
}

void stand_in_server::Serve() {
  std::thread(&ExitOnSignal).detach();
  listen_after_bind();
}

void stand_in_server::SilenceOpenConnections() {
  if (current_connection != nullptr) {
    current_connection->ExemptFromSilence();
  }
  std::lock_guard lock(mutex_);
  *silenced_ = true;
  silenced_ = std::make_shared<std::atomic<bool>>(false);
}

void stand_in_server::DropCurrentConnection() {
  if (current_connection != nullptr) {
    current_connection->Drop();
  }
}

bool stand_in_server::IsCallerPresent() {
  return current_connection == nullptr || current_connection->is_writable();
}

bool stand_in_server::process_and_close_socket(socket_t sock) {
  std::shared_ptr<std::atomic<bool>> silenced;
  {
    std::lock_guard lock(mutex_);
    silenced = silenced_;
  }
  connection_stream stream(sock, *silenced);
  current_connection = &stream;
  ServeConnection(stream);
  stream.WaitIfSilenced();
  current_connection = nullptr;
  shutdown(sock, SHUT_RDWR);
  close(sock);
  return true;
}

void stand_in_server::ServeConnection(connection_stream& stream) {
  const auto delay_request = [this](httplib::Request&) {
    std::this_thread::sleep_for(link_delay_);
  };
  bool closed = false;
  while (!closed && !stream.IsDropped()) {
    pollfd entry{stream.socket(), POLLIN, 0};
    if (poll(&entry, 1, kIdleTimeoutMs) <= 0 ||
        !process_request(stream, false, closed, delay_request)) {
      return;
    }
  }
}

void SetJsonResponse(httplib::Response& response, int status, const nlohmann::json& body) {
  response.status = status;
  response.set_content(body.dump(), "application/json");
}

void SetErrorResponse(httplib::Response& response,
                      int status,
                      const std::string& code,
                      const std::string& message) {
  SetJsonResponse(response, status, {{"error", {{"code", code}, {"message", message}}}});
}

nlohmann::json ParseObject(const std::string& body) {
  nlohmann::json parsed = nlohmann::json::parse(body, nullptr, false);
  return parsed.is_object() ? parsed : nlohmann::json(nlohmann::json::value_t::discarded);
}

}  // namespace tarragon::fakes
