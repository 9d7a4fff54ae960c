#include "tarragon/store/http_platform_store.h"

#include <boost/outcome/try.hpp>
#include <nlohmann/json.hpp>

#include <utility>

#include <httplib.h>

namespace tarragon::store {

namespace {

using json = nlohmann::json;

constexpr int kMaxPort = 65535;
constexpr int kStatusOk = 200;
constexpr int kLastSuccessStatus = 299;
constexpr int kStatusNotFound = 404;
constexpr int kStatusConflict = 409;
constexpr int kStatusTooManyRequests = 429;
constexpr int kFirstServerErrorStatus = 500;
constexpr const char* kJsonType = "application/json";
constexpr const char* kBytesType = "application/octet-stream";

enum class call_kind : std::uint8_t { kRead, kWrite };

std::string EncodeKey(const std::string& key) {
  return httplib::detail::encode_query_param(key);
}

/** @return whether the request did not reach the platform. */
bool IsNotSent(httplib::Error error) {
  return error == httplib::Error::Connection || error == httplib::Error::ConnectionTimeout ||
         error == httplib::Error::BindIPAddress;
}

store_result<std::string> ReadBody(const httplib::Result& response, call_kind kind) {
  // A read has no effect, so the outcome of a failed read is never unknown.
  const store_error no_response_error =
      kind == call_kind::kRead ? store_error::kUnavailable : store_error::kUnknownOutcome;
  if (!response) {
    return IsNotSent(response.error()) ? store_error::kUnavailable : no_response_error;
  }
  const int status = response->status;
  if (status >= kStatusOk && status <= kLastSuccessStatus) {
    return response->body;
  }
  if (status == kStatusNotFound) {
    return store_error::kNotFound;
  }
  if (status == kStatusConflict) {
    return store_error::kConflict;
  }
  if (status == kStatusTooManyRequests) {
    return store_error::kRateLimited;
  }
  // A gateway may send a 5xx although the platform behind it has applied the write.
  return status >= kFirstServerErrorStatus ? no_response_error : store_error::kBadAnswer;
}

httplib::Client MakeClient(const http_store_options& options) {
  httplib::Client client(options.host, options.port);
  client.set_connection_timeout(options.connect_timeout);
  client.set_read_timeout(options.io_timeout);
  client.set_write_timeout(options.io_timeout);
  client.set_keep_alive(false);
  client.set_tcp_nodelay(true);
  // This file encodes the keys; httplib cannot tell a key from the rest of a path.
  client.set_url_encode(false);
  return client;
}

store_result<row> ParseRow(const json& value) {
  if (!value.is_object() || !value.contains("key") || !value["key"].is_string() ||
      !value.contains("version") || !value["version"].is_number_unsigned() ||
      !value.contains("value") || !value["value"].is_string()) {
    return store_error::kBadAnswer;
  }
  return row{.key = value["key"].get<std::string>(),
             .value = value["value"].get<std::string>(),
             .version = value["version"].get<std::uint64_t>()};
}

json ParseJson(const std::string& text) {
  return json::parse(text, nullptr, /*allow_exceptions=*/false);
}

json ToJson(const transaction& writes) {
  json conditions = json::array();
  for (const row_condition& condition : writes.conditions) {
    conditions.push_back({{"key", condition.key}, {"version", condition.version}});
  }
  json values = json::array();
  for (const row_write& write : writes.writes) {
    values.push_back(
        {{"key", write.key}, {"value", write.value ? json(*write.value) : json(nullptr)}});
  }
  return {{"conditions", std::move(conditions)}, {"writes", std::move(values)}};
}

std::string StringOrEmpty(const json& value, const char* key) {
  return value.contains(key) && value[key].is_string() ? value[key].get<std::string>()
                                                       : std::string();
}

}  // namespace

std::unique_ptr<http_platform_store> http_platform_store::Make(http_store_options options) {
  if (options.host.empty() || options.port <= 0 || options.port > kMaxPort) {
    return nullptr;
  }
  return std::unique_ptr<http_platform_store>(new http_platform_store(std::move(options)));
}

http_platform_store::http_platform_store(http_store_options options)
    : options_(std::move(options)) {}

store_result<std::string> http_platform_store::Get(const std::string& path) {
  httplib::Client client = MakeClient(options_);
  return ReadBody(client.Get(path), call_kind::kRead);
}

store_result<row> http_platform_store::Read(const std::string& key) {
  BOOST_OUTCOME_TRY(body, Get("/table/" + EncodeKey(key)));
  return ParseRow(ParseJson(body));
}

store_result<std::vector<row>> http_platform_store::Scan(const std::string& prefix) {
  BOOST_OUTCOME_TRY(body, Get("/table?prefix=" + EncodeKey(prefix)));
  json list = ParseJson(body);
  // The platform sends either the list itself or an object with the list in `rows`.
  if (list.is_object() && list.contains("rows")) {
    list = json(list["rows"]);
  }
  if (!list.is_array()) {
    return store_error::kBadAnswer;
  }
  std::vector<row> rows;
  rows.reserve(list.size());
  for (const json& entry : list) {
    BOOST_OUTCOME_TRY(parsed, ParseRow(entry));
    rows.push_back(std::move(parsed));
  }
  return rows;
}

store_result<std::vector<std::uint64_t>> http_platform_store::Commit(const transaction& writes) {
  const std::string request = ToJson(writes).dump(-1, ' ', false, json::error_handler_t::replace);
  httplib::Client client = MakeClient(options_);
  BOOST_OUTCOME_TRY(
      body, ReadBody(client.Post("/table/transactions", request, kJsonType), call_kind::kWrite));
  const json response = ParseJson(body);
  if (!response.is_object() || !response.contains("versions") || !response["versions"].is_array() ||
      response["versions"].size() != writes.writes.size()) {
    return store_error::kBadAnswer;
  }
  std::vector<std::uint64_t> versions;
  for (const json& version : response["versions"]) {
    if (!version.is_number_unsigned()) {
      return store_error::kBadAnswer;
    }
    versions.push_back(version.get<std::uint64_t>());
  }
  return versions;
}

store_result<std::string> http_platform_store::GetObject(const std::string& key) {
  return Get("/objects/" + EncodeKey(key));
}

store_result<std::string> http_platform_store::PutObject(const std::string& key,
                                                         const std::string& data) {
  httplib::Client client = MakeClient(options_);
  return ReadBody(client.Put("/objects/" + EncodeKey(key), data, kBytesType), call_kind::kWrite);
}

store_result<std::vector<listed_vm>> http_platform_store::ListVms() {
  BOOST_OUTCOME_TRY(body, Get("/vms"));
  const json list = ParseJson(body);
  if (!list.is_array()) {
    return store_error::kBadAnswer;
  }
  std::vector<listed_vm> vms;
  for (const json& entry : list) {
    if (!entry.is_object()) {
      return store_error::kBadAnswer;
    }
    vms.push_back({.id = StringOrEmpty(entry, "id"),
                   .address = StringOrEmpty(entry, "address"),
                   .failure_domain = StringOrEmpty(entry, "failure_domain"),
                   .leaving = StringOrEmpty(entry, "state") == "leaving"});
  }
  return vms;
}

}  // namespace tarragon::store
