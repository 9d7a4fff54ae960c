#include "admin_client.h"

#include <chrono>
#include <thread>
#include <utility>

#include <httplib.h>
#include "tarragon/net/socket_address.h"

namespace tarragon::ctl {

namespace {

constexpr int kMaxAttempts = 10;
constexpr std::chrono::milliseconds kRetryDelay{500};
constexpr std::chrono::seconds kTimeout{10};
constexpr int kHttpUnavailable = 503;

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

admin_response admin_client::Call(const admin_request& request) const {
  admin_response response = CallOnce(request);
  for (int i = 1; i < kMaxAttempts && (response.status == 0 || response.status == kHttpUnavailable);
       ++i) {
    std::this_thread::sleep_for(kRetryDelay);
    response = CallOnce(request);
  }
  return response;
}

admin_response admin_client::Get(const std::string& path) const {
  admin_request request;
  request.path = path;
  return Call(request);
}

admin_response admin_client::CallOnce(const admin_request& request) const {
  httplib::ClientImpl client(ip_, port_);
  client.set_connection_timeout(kTimeout);
  client.set_read_timeout(kTimeout);
  httplib::Request http_request;
  http_request.method = request.method;
  http_request.path = request.path;
  http_request.body = request.body;
  http_request.headers.emplace("Authorization", "Bearer " + token_);
  http_request.headers.insert(request.headers.begin(), request.headers.end());
  const auto result = client.send(http_request);
  if (!result) {
    return {};
  }
  admin_response response;
  response.status = result->status;
  response.body = result->body;
  response.headers.insert(result->headers.begin(), result->headers.end());
  return response;
}

}  // namespace tarragon::ctl
