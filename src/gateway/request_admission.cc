#include "tarragon/gateway/request_admission.h"

#include <algorithm>
#include <charconv>
#include <iterator>
#include <limits>
#include <system_error>

#include "tarragon/base/hash.h"
#include "tarragon/routing/drain_policy.h"

namespace tarragon::gateway {

namespace {

constexpr int kUnauthorized = 401;
constexpr int kNotFound = 404;
constexpr int kUnavailable = 503;

/** Sent before a configuration is known; startup with a reachable store takes some 100 ms. */
constexpr std::chrono::milliseconds kStartingRetryAfter{300};

/** Factor on the caller's estimate, which half of all outputs exceed. */
constexpr double kOutputMargin = 1.3;

std::optional<std::int64_t> ParseInteger(std::optional<std::string_view> text) {
  if (!text) {
    return std::nullopt;
  }
  std::int64_t value = 0;
  const char* const end = text->data() + text->size();
  const auto [last, error] = std::from_chars(text->data(), end, value);
  return error == std::errc{} && last == end ? std::optional(value) : std::nullopt;
}

std::string_view PathOf(std::string_view target) {
  return target.substr(0, target.find('?'));
}

std::string_view HostOf(const http::header_list& headers) {
  const std::string_view host = headers.Find("Host").value_or("");
  return host.substr(0, host.rfind(':'));
}

std::uint32_t PredictedOutput(const generation_size& stated_size) {
  if (!stated_size.expected_output_tokens) {
    return stated_size.max_output_tokens;
  }
  const double wanted = kOutputMargin * *stated_size.expected_output_tokens;
  return static_cast<std::uint32_t>(
      std::min<double>(wanted, std::max(stated_size.max_output_tokens, 1U)));
}

std::vector<routing::request_trait> TraitsOf(const caller_request& request,
                                             const admitted_request& admitted) {
  constexpr std::uint8_t kContent = std::numeric_limits<std::uint8_t>::max();
  const std::uint64_t content =
      Hash64(request.body, Hash64(request.head.target, Hash64(admitted.account)));
  std::vector<routing::request_trait> traits{{{content}, kContent}};
  // Later parts belong to fewer requests.
  std::ranges::transform(admitted.shared_parts, std::back_inserter(traits),
                         [position = 0](const std::string& part) mutable {
                           return routing::request_trait{
                               {Hash64(part)},
                               static_cast<std::uint8_t>(std::min(position++, kContent - 1))};
                         });
  return traits;
}

admitted_request MakeAdmittedRequest(const gateway_state& gateway,
                                     const caller_request& request,
                                     std::string_view request_id,
                                     const routing::route& route,
                                     const routing::client_account* account) {
  const header_names& names = gateway.adapter.names();
  const http::header_list& headers = request.head.headers;
  admitted_request admitted;
  admitted.config = gateway.config;
  admitted.route = &route;
  if (account != nullptr) {
    admitted.account = account->name;
  }
  admitted.priority =
      account != nullptr ? account->priority.value_or(route.priority) : route.priority;
  std::chrono::milliseconds allowed = route.timeout;
  if (const auto wanted = ParseInteger(headers.Find(names.deadline)); wanted && *wanted >= 0) {
    allowed = std::min(allowed, std::chrono::milliseconds(*wanted));
  }
  admitted.deadline = request.received + allowed;
  if (const auto last = ParseInteger(headers.Find(names.last_event_id)); last && *last >= 0) {
    admitted.last_event = static_cast<std::uint64_t>(*last);
    admitted.resumed_request_id = headers.Find(names.resumed_request_id).value_or("");
  }
  constexpr double kHashRange = 18446744073709551616.0;
  // A stream that is taken up goes on at the service that began it.
  const std::string_view first_id =
      admitted.resumed_request_id.empty() ? request_id : admitted.resumed_request_id;
  const double point = static_cast<double>(Hash64(first_id)) / kHashRange;
  admitted.service_name = routing::PickService(route, point);
  admitted.service = gateway.config->FindService(admitted.service_name);
  if (admitted.service != nullptr && admitted.service->engine) {
    const generation_size stated_size = gateway.adapter.ReadGenerationSize(headers);
    admitted.size = {stated_size.prompt_tokens, PredictedOutput(stated_size),
                     stated_size.max_output_tokens};
    admitted.shared_parts = gateway.adapter.ReadPromptParts(headers);
    if (!admitted.shared_parts.empty()) {
      // The last part belongs to the request or its session alone.
      admitted.shared_parts.pop_back();
    }
  }
  admitted.traits = TraitsOf(request, admitted);
  return admitted;
}

}  // namespace

bool CanFinishBeforeExit(const gateway_state& gateway,
                         const admitted_request& admitted,
                         std::chrono::milliseconds time_allowed) {
  if (!gateway.draining && !gateway.closing) {
    return true;
  }
  const routing::pace_bounds bounds =
      routing::BoundPace(gateway.time.Now(), gateway.PaceOf(admitted.service_name),
                         gateway.endpoints.FindByService(admitted.service_name));
  return !gateway.closing && routing::CanFinishInTime(*admitted.route, admitted.size, bounds,
                                                      time_allowed, gateway.TimeUntilExit());
}

std::variant<admitted_request, rejected_request> AdmitRequest(const gateway_state& gateway,
                                                              const caller_request& request,
                                                              std::string_view request_id) {
  if (!gateway.config) {
    return rejected_request{kUnavailable, "no_configuration", kStartingRetryAfter};
  }
  const http::header_list& headers = request.head.headers;
  const routing::route* route =
      gateway.config->FindRoute(HostOf(headers), PathOf(request.head.target));
  if (route == nullptr) {
    return rejected_request{kNotFound, "no_route", std::nullopt};
  }
  const routing::client_account* account = nullptr;
  if (gateway.config->requires_api_key()) {
    account = gateway.config->FindAccount(gateway.adapter.ReadApiKey(headers));
    if (account == nullptr && !route->is_public) {
      return rejected_request{kUnauthorized, "unknown_key", std::nullopt};
    }
  }
  admitted_request admitted = MakeAdmittedRequest(gateway, request, request_id, *route, account);
  if (gateway.quarantine.FindQuarantined(admitted.traits)) {
    return rejected_request{kUnavailable, "crashes_endpoints", kQuarantineRetryAfter};
  }
  const auto time_allowed =
      std::chrono::ceil<std::chrono::milliseconds>(admitted.deadline - gateway.time.Now());
  if (!CanFinishBeforeExit(gateway, admitted, time_allowed)) {
    return rejected_request{kUnavailable, "draining", kDrainingRetryAfter};
  }
  return admitted;
}

}  // namespace tarragon::gateway
