#include "tarragon/net/caller_request.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <nlohmann/json.hpp>
#include <ranges>
#include <string_view>
#include <utility>

#include "tarragon/base/hash.h"
#include "tarragon/net/resumption_ticket.h"

namespace tarragon::net {

namespace {

constexpr int kHttpBadRequest = 400;
constexpr int kHttpUnauthorized = 401;
constexpr int kHttpNotFound = 404;
constexpr std::string_view kBearerPrefix = "Bearer ";
constexpr std::string_view kServicesPrefix = "/services/";
// The entry has no tokenizer and estimates one token per four bytes.
constexpr std::size_t kBytesPerToken = 4;
// Prompts that agree in this many leading bytes are taken to share a prefix in an engine's KV
// cache.
constexpr std::size_t kPrefixHashBytes = 1024;
constexpr std::size_t kMaxIdempotencyKeyBytes = 128;
constexpr std::size_t kMaxAdapterBytes = 256;
constexpr std::array<std::string_view, 4> kMutatingMethods = {"POST", "PUT", "PATCH", "DELETE"};

http_error BadRequest(std::string code, std::string message) {
  return {.status = kHttpBadRequest, .code = std::move(code), .message = std::move(message)};
}

template <typename T>
std::optional<T> ParseNumber(std::string_view text) {
  T number = 0;
  const auto parsed = std::from_chars(text.data(), text.data() + text.size(), number);
  if (text.empty() || parsed.ec != std::errc() || parsed.ptr != text.data() + text.size()) {
    return std::nullopt;
  }
  return number;
}

/** The key becomes part of a table key, so separators and control bytes are not allowed. */
bool IsValidIdempotencyKey(std::string_view key) {
  const auto allowed = [](char c) {
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '-' ||
           c == '_' || c == '.' || c == ':';
  };
  return !key.empty() && key.size() <= kMaxIdempotencyKeyBytes && std::ranges::all_of(key, allowed);
}

/**
 * Rejects paths that an endpoint could normalize to another path: such a path could bypass the
 * check for unrepeatable paths.
 */
bool IsNormalizedPath(std::string_view path) {
  for (const auto part : std::views::split(path, '/')) {
    const std::string_view segment(part.begin(), part.end());
    if (segment == "." || segment == "..") {
      return false;
    }
  }
  return path.find("//") == std::string_view::npos &&
         std::ranges::all_of(path, [](char c) { return c > ' ' && c != '\x7f' && c != '\\'; });
}

request_result<std::chrono::milliseconds> ReadDeadline(
    const raw_request& raw,
    const document::request_class& selected_class,
    const request_limits& limits) {
  if (!raw.deadline_ms) {
    return std::min(selected_class.default_deadline, limits.max_deadline);
  }
  const auto ms = ParseNumber<std::int64_t>(*raw.deadline_ms);
  if (!ms || *ms < 1 || *ms > limits.max_deadline.count()) {
    return BadRequest(
        "invalid_deadline",
        fmt::format("Deadline-Ms: expected an integer from 1 to {}", limits.max_deadline.count()));
  }
  return std::chrono::milliseconds(*ms);
}

request_result<const document::request_class*> ReadClass(
    const raw_request& raw,
    const document::service_settings& service,
    const document::operating_document& document) {
  const std::string& name = raw.request_class ? *raw.request_class : service.default_class;
  const document::request_class* found = document.FindClass(name);
  if (found == nullptr) {
    return BadRequest("unknown_class",
                      fmt::format("Request-Class: class '{}' does not exist", name));
  }
  return found;
}

/** Fields of the JSON body of a completion request. */
struct generation_body {
  std::string model;
  std::string prompt;
  std::string adapter;
  std::uint32_t max_tokens = 0;
  bool stream = false;
};

request_result<std::string> ReadPrompt(const nlohmann::json& json) {
  const auto prompt = json.find("prompt");
  if (prompt == json.end() || !prompt->is_string() ||
      prompt->get_ref<const std::string&>().empty()) {
    return BadRequest("invalid_prompt", "prompt: expected a non-empty string");
  }
  return prompt->get<std::string>();
}

request_result<std::string> ReadMessages(const nlohmann::json& json) {
  const auto messages = json.find("messages");
  const http_error error = BadRequest(
      "invalid_messages", "messages: expected a list of objects with the strings role and content");
  if (messages == json.end() || !messages->is_array() || messages->empty()) {
    return error;
  }
  std::string prompt;
  for (const auto& message : *messages) {
    if (!message.is_object() || !message.contains("role") || !message["role"].is_string() ||
        !message.contains("content") || !message["content"].is_string()) {
      return error;
    }
    prompt += fmt::format("{}: {}\n", message["role"].get_ref<const std::string&>(),
                          message["content"].get_ref<const std::string&>());
  }
  return prompt + "assistant:";
}

request_result<generation_body> ReadBody(const raw_request& raw,
                                         bool chat,
                                         const request_limits& limits) {
  const auto json = nlohmann::json::parse(raw.body, nullptr, /*allow_exceptions=*/false);
  if (!json.is_object()) {
    return BadRequest("invalid_json", "body: expected a JSON object");
  }
  generation_body body;
  const auto model = json.find("model");
  if (model == json.end() || !model->is_string()) {
    return BadRequest("invalid_model", "model: expected a string");
  }
  body.model = model->get<std::string>();
  auto prompt = chat ? ReadMessages(json) : ReadPrompt(json);
  if (!prompt) {
    return prompt.error();
  }
  body.prompt = std::move(prompt).value();
  if (const auto stream = json.find("stream"); stream != json.end()) {
    if (!stream->is_boolean()) {
      return BadRequest("invalid_stream", "stream: expected true or false");
    }
    body.stream = stream->get<bool>();
  }
  if (const auto tokens = json.find("max_tokens"); tokens != json.end() && !tokens->is_null()) {
    if (!tokens->is_number_unsigned() || tokens->get<std::uint64_t>() < 1 ||
        tokens->get<std::uint64_t>() > limits.max_tokens) {
      return BadRequest(
          "invalid_max_tokens",
          fmt::format("max_tokens: expected an integer from 1 to {}", limits.max_tokens));
    }
    body.max_tokens = tokens->get<std::uint32_t>();
  }
  if (const auto adapter = json.find("adapter"); adapter != json.end() && !adapter->is_null()) {
    if (!adapter->is_string() || adapter->get_ref<const std::string&>().size() > kMaxAdapterBytes) {
      return BadRequest(
          "invalid_adapter",
          fmt::format("adapter: expected a string of at most {} bytes", kMaxAdapterBytes));
    }
    body.adapter = adapter->get<std::string>();
  }
  return body;
}

/** Splits `<generation>:<index>`. */
std::optional<std::pair<std::string, std::uint32_t>> ParseEventId(std::string_view id) {
  const std::size_t colon = id.rfind(':');
  if (colon == std::string_view::npos || colon == 0) {
    return std::nullopt;
  }
  const auto index = ParseNumber<std::uint32_t>(id.substr(colon + 1));
  if (!index || *index == std::numeric_limits<std::uint32_t>::max()) {
    return std::nullopt;
  }
  return std::pair(std::string(id.substr(0, colon)), *index);
}

request_result<std::optional<resumption>> ReadResumption(
    const raw_request& raw,
    const decision::request_properties& properties,
    const request_limits& limits,
    std::string_view key,
    wall_time_point now) {
  if (!raw.resumption_ticket) {
    if (raw.last_event_id) {
      return BadRequest("missing_ticket",
                        "Last-Event-ID: the header requires a Resumption-Ticket header");
    }
    return std::optional<resumption>();
  }
  const auto ticket =
      resumption_ticket::ParseAndVerify(*raw.resumption_ticket, key, now, limits.max_ticket_age);
  // All failures get the same message, so that it does not help an attacker to forge a ticket.
  if (!ticket || ticket->contents().account != properties.account ||
      ticket->contents().request_class != properties.request_class ||
      ticket->contents().request_fingerprint != properties.request_fingerprint) {
    return BadRequest("invalid_ticket",
                      "Resumption-Ticket: expected a valid ticket of this account and request");
  }
  resumption resume{.endpoint = ticket->contents().endpoint,
                    .generation = ticket->contents().generation};
  if (raw.last_event_id) {
    const auto id = ParseEventId(*raw.last_event_id);
    if (!id || id->first != resume.generation) {
      return BadRequest("invalid_event_id",
                        "Last-Event-ID: expected <generation>:<index> of the ticket's generation");
    }
    resume.next_index = id->second + 1;
  }
  return std::optional(std::move(resume));
}

request_result<caller_request> ReadGeneration(const raw_request& raw,
                                              const document::operating_document& document,
                                              const request_limits& limits,
                                              std::string_view key,
                                              const clock_reading& time,
                                              std::string account) {
  caller_request request;
  const bool chat = raw.path == "/v1/chat/completions";
  request.format = chat ? response_format::kChat : response_format::kCompletion;
  auto parsed_body = ReadBody(raw, chat, limits);
  if (!parsed_body) {
    return parsed_body.error();
  }
  const generation_body body = std::move(parsed_body).value();
  const document::service_settings* service = document.FindServiceOfModel(body.model);
  if (service == nullptr) {
    return http_error{.status = kHttpNotFound,
                      .code = "model_not_found",
                      .message = fmt::format("model: model '{}' does not exist", body.model)};
  }
  const auto selected_class = ReadClass(raw, *service, document);
  if (!selected_class) {
    return selected_class.error();
  }
  const auto deadline = ReadDeadline(raw, *selected_class.value(), limits);
  if (!deadline) {
    return deadline.error();
  }
  request.model = body.model;
  request.stream = body.stream;
  request.held_until_complete = selected_class.value()->on_loss == document::loss_policy::kHold;
  decision::request_properties& properties = request.properties;
  properties.kind = decision::request_kind::kGeneration;
  properties.account = std::move(account);
  properties.service = service->name;
  properties.request_class = selected_class.value()->name;
  properties.prompt_tokens = static_cast<std::uint32_t>(body.prompt.size() / kBytesPerToken + 1);
  properties.max_tokens = body.max_tokens;
  properties.prefix_hash = Hash64(body.prompt.substr(0, kPrefixHashBytes));
  properties.request_fingerprint.value = Hash64(body.prompt, Hash64(body.model));
  properties.deadline = time.now + deadline.value();
  properties.buffered_response = !body.stream;
  properties.idempotency_key = raw.idempotency_key.value_or("");
  auto resume = ReadResumption(raw, properties, limits, key, time.wall);
  if (!resume) {
    return resume.error();
  }
  request.resume = std::move(resume).value();
  nlohmann::json upstream_body = {{"model", body.model}, {"prompt", body.prompt}, {"stream", true}};
  if (body.max_tokens > 0) {
    upstream_body["max_tokens"] = body.max_tokens;
  }
  if (!body.adapter.empty()) {
    upstream_body["adapter"] = body.adapter;
  }
  request.call = {.method = "POST",
                  .target = "/v1/completions",
                  .content_type = "application/json",
                  .body = upstream_body.dump()};
  request.call.body.pop_back();
  return request;
}

request_result<caller_request> ReadServiceCall(const raw_request& raw,
                                               const document::operating_document& document,
                                               const request_limits& limits,
                                               const clock_reading& time,
                                               std::string account) {
  const std::string_view name_and_path = std::string_view(raw.path).substr(kServicesPrefix.size());
  const std::size_t slash = name_and_path.find('/');
  const std::string name(name_and_path.substr(0, slash));
  const document::service_settings* service = document.FindService(name);
  if (service == nullptr || service->kind != document::service_kind::kPlain) {
    return http_error{.status = kHttpNotFound,
                      .code = "service_not_found",
                      .message = fmt::format("path: plain service '{}' does not exist", name)};
  }
  const std::string path(slash == std::string_view::npos ? "/" : name_and_path.substr(slash));
  const std::string prefix = fmt::format("{}{}", kServicesPrefix, name);
  if (!IsNormalizedPath(path) || !raw.target.starts_with(prefix)) {
    return BadRequest("invalid_path", "path: expected no empty, '.' or '..' segment");
  }
  const auto selected_class = ReadClass(raw, *service, document);
  if (!selected_class) {
    return selected_class.error();
  }
  const auto deadline = ReadDeadline(raw, *selected_class.value(), limits);
  if (!deadline) {
    return deadline.error();
  }
  caller_request request;
  request.format = response_format::kService;
  decision::request_properties& properties = request.properties;
  properties.kind = decision::request_kind::kServiceCall;
  properties.account = std::move(account);
  properties.service = service->name;
  properties.request_class = selected_class.value()->name;
  properties.deadline = time.now + deadline.value();
  properties.buffered_response = true;
  properties.repeatable =
      std::ranges::find(kMutatingMethods, raw.method) == kMutatingMethods.end() ||
      std::ranges::none_of(service->unrepeatable_paths,
                           [&](const std::string& p) { return path.starts_with(p); });
  properties.idempotency_key = raw.idempotency_key.value_or("");
  if (!properties.repeatable && !raw.idempotency_key) {
    return BadRequest(
        "missing_idempotency_key",
        "Idempotency-Key: the header is required, because this call may run at most once");
  }
  std::string target = raw.target.substr(prefix.size());
  if (target.empty() || target.front() != '/') {
    target.insert(0, "/");
  }
  properties.request_fingerprint.value =
      Hash64(raw.body, Hash64(fmt::format("{} {}{}", raw.method, name, target)));
  request.call = {.method = raw.method,
                  .target = std::move(target),
                  .content_type = raw.content_type,
                  .body = raw.body};
  return request;
}

}  // namespace

std::optional<std::string> BearerToken(const std::optional<std::string>& authorization) {
  if (!authorization || !authorization->starts_with(kBearerPrefix) ||
      authorization->size() == kBearerPrefix.size()) {
    return std::nullopt;
  }
  return authorization->substr(kBearerPrefix.size());
}

request_result<const document::client_account*> Authenticate(
    const std::optional<std::string>& authorization,
    const document::operating_document& document) {
  const auto token = BearerToken(authorization);
  const document::client_account* account =
      token ? document.FindAccountByTokenHash(Sha256Hex(*token)) : nullptr;
  if (account == nullptr) {
    return http_error{.status = kHttpUnauthorized,
                      .code = "invalid_api_key",
                      .message = "Authorization: expected the bearer token of an account"};
  }
  return account;
}

request_result<caller_request> ReadCallerRequest(const raw_request& raw,
                                                 const document::operating_document& document,
                                                 const request_limits& limits,
                                                 std::string_view key,
                                                 const clock_reading& time) {
  const auto account = Authenticate(raw.authorization, document);
  if (!account) {
    return account.error();
  }
  if (raw.idempotency_key && !IsValidIdempotencyKey(*raw.idempotency_key)) {
    return BadRequest("invalid_idempotency_key",
                      fmt::format("Idempotency-Key: expected 1 to {} letters, digits or -_.:",
                                  kMaxIdempotencyKeyBytes));
  }
  const std::string& name = account.value()->name;
  return raw.path.starts_with(kServicesPrefix)
             ? ReadServiceCall(raw, document, limits, time, name)
             : ReadGeneration(raw, document, limits, key, time, name);
}

}  // namespace tarragon::net
