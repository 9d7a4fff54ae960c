#include "tarragon/net/http_error.h"

#include <fmt/format.h>

#include <algorithm>
#include <nlohmann/json.hpp>

namespace tarragon::net {

namespace {

constexpr int kHttpUnauthorized = 401;
constexpr int kHttpTooManyRequests = 429;
constexpr int kHttpServerError = 500;

std::string_view ErrorType(int status) {
  if (status == kHttpUnauthorized) {
    return "authentication_error";
  }
  if (status == kHttpTooManyRequests) {
    return "rate_limit_error";
  }
  return status < kHttpServerError ? "invalid_request_error" : "server_error";
}

std::string_view ErrorCode(decision::finish_reason reason) {
  switch (reason) {
    case decision::finish_reason::kCompleted:
      return "completed";
    case decision::finish_reason::kQueueFull:
      return "queue_full";
    case decision::finish_reason::kDeadline:
      return "deadline";
    case decision::finish_reason::kOverRateLimit:
      return "rate_limit_exceeded";
    case decision::finish_reason::kNoEndpoint:
      return "no_endpoint";
    case decision::finish_reason::kDraining:
      return "draining";
    case decision::finish_reason::kLost:
      return "lost";
    case decision::finish_reason::kCancelled:
      return "cancelled";
    case decision::finish_reason::kRefusedByEndpoint:
      return "refused_by_endpoint";
    case decision::finish_reason::kSuspectRefused:
      return "suspect_refused";
    case decision::finish_reason::kClaimHeld:
      return "idempotency_key_in_use";
    case decision::finish_reason::kClaimUnavailable:
      return "claims_unavailable";
    case decision::finish_reason::kInvalid:
      return "invalid_request";
  }
  return "unknown";
}

}  // namespace

std::string http_error::Body() const {
  return nlohmann::json{
      {"error", {{"type", ErrorType(status)}, {"code", code}, {"message", message}}}}
      .dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

http_error MakeError(const decision::finish_request& finish) {
  http_error error;
  error.status = finish.status;
  error.code = ErrorCode(finish.reason);
  error.message = finish.message.empty() ? error.code : finish.message;
  error.verdict = finish.verdict;
  error.retry_after = finish.retry_after;
  return error;
}

std::string RetryAfterSeconds(std::chrono::milliseconds wait) {
  return fmt::to_string(
      std::max<std::int64_t>(std::chrono::ceil<std::chrono::seconds>(wait).count(), 1));
}

}  // namespace tarragon::net
