#include "section_parser.h"

#include <arpa/inet.h>
#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <functional>
#include <map>
#include <string>
#include <utility>

#include "table_reader.h"

namespace tarragon::document {

namespace {

using error_list = std::vector<document_error>;

constexpr std::int64_t kMaxDurationMs = std::int64_t{24} * 60 * 60 * 1000;
constexpr double kMaxWeight = 1e6;
constexpr double kMaxRequestsPerSecond = 1e6;
constexpr int kMaxPriority = 1000;
constexpr std::int64_t kMaxProbeRequests = 100000;
constexpr std::size_t kSha256HexLength = 64;
constexpr std::size_t kMaxNameLength = 128;
constexpr int kMaxPort = 65535;

void ReportError(const table_reader& entry,
                 std::string_view section,
                 error_list& errors,
                 std::string message) {
  errors.push_back({std::string(section), entry.Line(), std::move(message)});
}

// Names are used in URLs, table keys and metric labels.
bool IsValidName(std::string_view text) {
  return !text.empty() && text.size() <= kMaxNameLength &&
         std::ranges::all_of(text, [](unsigned char c) {
           return std::isalnum(c) != 0 || c == '-' || c == '_' || c == '.';
         });
}

void ReadName(table_reader& entry,
              std::string_view section,
              error_list& errors,
              std::string& value) {
  entry.ReadString("name", presence::kRequired, value);
  if (!value.empty() && !IsValidName(value)) {
    ReportError(
        entry, section, errors,
        fmt::format("'name': '{}' must consist of at most {} letters, digits, '-', '_' or '.'",
                    value, kMaxNameLength));
  }
}

bool IsValidAddress(const std::string& text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string::npos) {
    return false;
  }
  std::string host = text.substr(0, colon);
  int family = AF_INET;
  if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
    host = host.substr(1, host.size() - 2);
    family = AF_INET6;
  }
  in6_addr parsed{};
  if (inet_pton(family, host.c_str(), &parsed) != 1) {
    return false;
  }
  int port = 0;
  const char* end = text.data() + text.size();
  const auto [rest, error] = std::from_chars(text.data() + colon + 1, end, port);
  return error == std::errc() && rest == end && port > 0 && port <= kMaxPort;
}

bool IsSha256Hex(std::string_view text) {
  return text.size() == kSha256HexLength && std::ranges::all_of(text, [](char c) {
           return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f');
         });
}

void ReadDuration(table_reader& entry, std::string_view key, std::chrono::milliseconds& value) {
  std::int64_t ms = value.count();
  entry.ReadInteger(key, {1, kMaxDurationMs}, ms);
  value = std::chrono::milliseconds(ms);
}

serving_state ReadState(table_reader& entry) {
  std::size_t index = 0;
  entry.ReadChoice("state", presence::kOptional, {"serving", "leaving"}, index);
  return index == 0 ? serving_state::kServing : serving_state::kLeaving;
}

model_settings ReadModel(table_reader& entry, error_list& errors) {
  model_settings model;
  ReadName(entry, "models", errors, model.name);
  entry.ReadString("version", presence::kRequired, model.version);
  entry.ReadStringList("adapters", model.adapters);
  entry.ReadNumber("min_serving_share", {0, 1}, model.min_serving_share);
  return model;
}

client_account ReadAccount(table_reader& entry, error_list& errors) {
  client_account account;
  ReadName(entry, "accounts", errors, account.name);
  entry.ReadNumber("weight", {0, kMaxWeight}, account.weight);
  if (account.weight <= 0) {
    ReportError(entry, "accounts", errors, "'weight': expected a number above 0");
  }
  entry.ReadNumber("requests_per_second", {0, kMaxRequestsPerSecond}, account.requests_per_second);
  entry.ReadString("token_sha256", presence::kRequired, account.token_sha256);
  if (!account.token_sha256.empty() && !IsSha256Hex(account.token_sha256)) {
    ReportError(entry, "accounts", errors,
                "'token_sha256': expected a SHA-256 digest of 64 lower-case hex digits");
  }
  return account;
}

request_class ReadClass(table_reader& entry, error_list& errors) {
  request_class result;
  ReadName(entry, "classes", errors, result.name);
  std::int64_t priority = result.priority;
  entry.ReadInteger("priority", {0, kMaxPriority}, priority);
  result.priority = static_cast<int>(priority);
  auto index = static_cast<std::size_t>(result.on_loss);
  entry.ReadChoice("loss_policy", presence::kRequired, {"hold", "restart", "end"}, index);
  result.on_loss = static_cast<loss_policy>(index);
  ReadDuration(entry, "default_deadline_ms", result.default_deadline);
  entry.ReadBool("urgent", result.urgent);
  return result;
}

service_settings ReadService(table_reader& entry, error_list& errors) {
  service_settings service;
  ReadName(entry, "services", errors, service.name);
  std::size_t kind = 0;
  entry.ReadChoice("kind", presence::kRequired, {"model", "plain"}, kind);
  service.kind = static_cast<service_kind>(kind);
  entry.ReadString("model", presence::kOptional, service.model);
  entry.ReadString("default_class", presence::kRequired, service.default_class);
  entry.ReadStringList("unrepeatable_paths", service.unrepeatable_paths);
  entry.ReadBool("must_serve", service.must_serve);
  if (service.kind == service_kind::kModel && service.model.empty()) {
    ReportError(entry, "services", errors, "'model': required for a service of kind model");
  }
  if (service.kind == service_kind::kPlain && !service.model.empty()) {
    ReportError(entry, "services", errors, "'model': not allowed for a service of kind plain");
  }
  for (const std::string& path : service.unrepeatable_paths) {
    if (path.front() != '/') {
      ReportError(entry, "services", errors,
                  fmt::format("'unrepeatable_paths': '{}' must start with '/'", path));
    }
  }
  return service;
}

endpoint_settings ReadEndpoint(table_reader& entry, error_list& errors) {
  endpoint_settings endpoint;
  ReadName(entry, "fleet", errors, endpoint.name);
  entry.ReadString("address", presence::kRequired, endpoint.address);
  if (!endpoint.address.empty() && !IsValidAddress(endpoint.address)) {
    ReportError(entry, "fleet", errors,
                fmt::format("'address': expected ip:port, found '{}'", endpoint.address));
  }
  entry.ReadString("service", presence::kRequired, endpoint.service);
  entry.ReadString("failure_domain", presence::kRequired, endpoint.failure_domain);
  entry.ReadBool("checks_fencing", endpoint.checks_fencing);
  endpoint.state = ReadState(entry);
  return endpoint;
}

vm_settings ReadVm(table_reader& entry, error_list& errors) {
  vm_settings vm;
  ReadName(entry, "fleet", errors, vm.name);
  vm.state = ReadState(entry);
  return vm;
}

drill_step ReadDrillStep(table_reader& entry, error_list& errors) {
  drill_step step;
  ReadName(entry, "drill", errors, step.name);
  std::size_t kind = 0;
  entry.ReadChoice("kind", presence::kRequired,
                   {"drain-endpoint", "drain-vm", "drain-failure-domain", "probe"}, kind);
  step.kind = static_cast<drill_step_kind>(kind);
  entry.ReadString("target", presence::kRequired, step.target);
  std::int64_t requests = step.requests;
  entry.ReadInteger("requests", {0, kMaxProbeRequests}, requests);
  step.requests = static_cast<int>(requests);
  ReadDuration(entry, "timeout_ms", step.timeout);
  entry.ReadNumber("max_error_share", {0, 1}, step.max_error_share);
  ReadDuration(entry, "max_p99_ms", step.max_p99);
  return step;
}

using entry_handler = std::function<void(table_reader&)>;

/** Passes each table of a section to the handler for its key; reports keys without a handler. */
void ReadEntries(const toml::table& root,
                 std::string_view section,
                 const std::map<std::string, entry_handler, std::less<>>& handlers,
                 error_list& errors) {
  for (const auto& [key, node] : root) {
    const auto handler = handlers.find(key.str());
    if (handler == handlers.end()) {
      errors.push_back({std::string(section), LineOf(node),
                        fmt::format("unknown key '{}'; the section holds [[{}]]", key.str(),
                                    handlers.begin()->first)});
      continue;
    }
    const toml::array* list = node.as_array();
    if (list == nullptr) {
      errors.push_back(
          {std::string(section), LineOf(node),
           fmt::format("'{}': expected an array of tables [[{}]]", key.str(), key.str())});
      continue;
    }
    for (const toml::node& item : *list) {
      const toml::table* table = item.as_table();
      if (table == nullptr) {
        errors.push_back(
            {std::string(section), LineOf(item), fmt::format("'{}': expected a table", key.str())});
        continue;
      }
      table_reader reader(*table, section, errors);
      handler->second(reader);
      reader.ReportUnknownKeys();
    }
  }
}

template <typename T>
entry_handler MakeEntryHandler(std::vector<located_entry<T>>& list,
                               T (*read)(table_reader&, error_list&),
                               error_list& errors) {
  return [&list, read, &errors](table_reader& reader) {
    list.push_back({read(reader, errors), reader.Line()});
  };
}

std::map<std::string, entry_handler, std::less<>> MakeSectionHandlers(std::string_view section,
                                                                      parsed_document& parsed,
                                                                      error_list& errors) {
  if (section == "models") {
    return {{"model", MakeEntryHandler(parsed.models, ReadModel, errors)}};
  }
  if (section == "accounts") {
    return {{"account", MakeEntryHandler(parsed.accounts, ReadAccount, errors)}};
  }
  if (section == "classes") {
    return {{"class", MakeEntryHandler(parsed.classes, ReadClass, errors)}};
  }
  if (section == "services") {
    return {{"service", MakeEntryHandler(parsed.services, ReadService, errors)}};
  }
  if (section == "fleet") {
    return {{"endpoint", MakeEntryHandler(parsed.endpoints, ReadEndpoint, errors)},
            {"vm", MakeEntryHandler(parsed.vms, ReadVm, errors)}};
  }
  if (section == "drill") {
    return {{"step", MakeEntryHandler(parsed.drill, ReadDrillStep, errors)}};
  }
  return {};
}

}  // namespace

void ParseSection(const section& source,
                  parsed_document& parsed,
                  std::vector<document_error>& errors) {
  const auto handlers = MakeSectionHandlers(source.name, parsed, errors);
  if (handlers.empty()) {
    errors.push_back({source.name, 0, "unknown section"});
    return;
  }
  const toml::parse_result result = toml::parse(source.text);
  if (result.failed()) {
    errors.push_back({source.name, static_cast<int>(result.error().source().begin.line),
                      std::string(result.error().description())});
    return;
  }
  ReadEntries(result.table(), source.name, handlers, errors);
}

}  // namespace tarragon::document
