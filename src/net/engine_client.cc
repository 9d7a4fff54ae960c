#include "tarragon/net/engine_client.h"

#include <memory>
#include <nlohmann/json.hpp>

#include <httplib.h>
#include "tarragon/net/socket_address.h"

namespace tarragon::net {

namespace {

constexpr int kHttpOk = 200;
constexpr int kHttpConflict = 409;

// Each call uses a new connection, because an order sent on a dead kept-alive connection is lost.
std::unique_ptr<httplib::ClientImpl> Connect(const std::string& address,
                                             std::chrono::milliseconds timeout) {
  const auto parsed = socket_address::Make(address);
  if (!parsed) {
    return nullptr;
  }
  auto client = std::make_unique<httplib::ClientImpl>(parsed->ip, parsed->port);
  client->set_connection_timeout(timeout);
  client->set_read_timeout(timeout);
  client->set_write_timeout(timeout);
  return client;
}

std::optional<control::engine_report> ParseReport(const endpoint_name& endpoint,
                                                  const std::string& body) {
  const auto json = nlohmann::json::parse(body, nullptr, /*allow_exceptions=*/false);
  if (!json.is_object()) {
    return std::nullopt;
  }
  try {
    control::engine_report report;
    report.endpoint = endpoint;
    report.setup.model = json.at("model").get<std::string>();
    report.setup.version = json.at("version").get<std::string>();
    report.setup.adapters = json.value("adapters", std::vector<std::string>());
    report.setup.role = json.value("role", std::string());
    report.order_fencing = json.value("order_fencing", std::uint64_t{0});
    report.order_document_version = json.value("order_document_version", std::uint64_t{0});
    report.loading = json.value("loading", false);
    report.leaving = json.value("leaving", false);
    return report;
  } catch (const nlohmann::json::exception&) {
    return std::nullopt;
  }
}

}  // namespace

std::optional<control::engine_report> engine_client::ReadReport(const endpoint_name& endpoint,
                                                                const std::string& address) const {
  auto client = Connect(address, timeout_);
  if (!client) {
    return std::nullopt;
  }
  const auto result = client->Get("/v1/load");
  if (!result || result->status != kHttpOk) {
    return std::nullopt;
  }
  return ParseReport(endpoint, result->body);
}

control::order_result engine_client::SendOrder(const control::engine_order& order,
                                               const std::string& address) const {
  auto client = Connect(address, timeout_);
  if (!client) {
    return control::order_result::kUnknown;
  }
  const nlohmann::json body{
      {"fencing", order.fencing_number},    {"document_version", order.document_version},
      {"model", order.desired.model},       {"version", order.desired.version},
      {"adapters", order.desired.adapters}, {"role", order.desired.role}};
  const auto result = client->Put("/v1/desired", body.dump(), "application/json");
  if (!result) {
    return control::order_result::kUnknown;
  }
  if (result->status == kHttpConflict) {
    return control::order_result::kFenced;
  }
  return result->status == kHttpOk ? control::order_result::kAccepted
                                   : control::order_result::kFailed;
}

}  // namespace tarragon::net
