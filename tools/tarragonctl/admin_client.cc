#include "admin_client.h"

#include <chrono>
#include <thread>
#include <utility>

#include <httplib.h>
#include "tarragon/net/socket_address.h"

namespace tarragon::ctl {

namespace {

constexpr int kAttempts = 10;
constexpr std::chrono::milliseconds kRetryDelay{500};
constexpr std::chrono::seconds kTimeout{10};
constexpr int kUnavailable = 503;

}  // namespace

std::optional<admin_client> admin_client::Make(const std::string& server, std::string token) {
  const auto address = net::socket_address::Make(server);
  if (!address || address->port == 0) {
    return std::nullopt;
  }
  return admin_client(address->ip, address->port, std::move(token));
}

admin_client::admin_client(std::string ip, int port, std::string token)
    : ip_(std::move(ip)), port_(port), token_(std::move(token)) {}

admin_answer admin_client::Call(const admin_call& call) const {
  admin_answer answer = CallOnce(call);
  for (int i = 1; i < kAttempts && (answer.status == 0 || answer.status == kUnavailable); ++i) {
    std::this_thread::sleep_for(kRetryDelay);
    answer = CallOnce(call);
  }
  return answer;
}

admin_answer admin_client::Get(const std::string& path) const {
  admin_call call;
  call.path = path;
  return Call(call);
}

admin_answer admin_client::CallOnce(const admin_call& call) const {
  httplib::ClientImpl client(ip_, port_);
  client.set_connection_timeout(kTimeout);
  client.set_read_timeout(kTimeout);
  httplib::Request request;
  request.method = call.method;
  request.path = call.path;
  request.body = call.body;
  request.headers.emplace("Authorization", "Bearer " + token_);
  request.headers.insert(call.headers.begin(), call.headers.end());
  const auto result = client.send(request);
  if (!result) {
    return {};
  }
  admin_answer answer;
  answer.status = result->status;
  answer.body = result->body;
  answer.headers.insert(result->headers.begin(), result->headers.end());
  return answer;
}

}  // namespace tarragon::ctl
