#ifndef TARRAGON_GATEWAY_REQUEST_ADMISSION_H_
#define TARRAGON_GATEWAY_REQUEST_ADMISSION_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "tarragon/base/clock.h"
#include "tarragon/base/ids.h"
#include "tarragon/gateway/caller_request.h"
#include "tarragon/gateway/gateway_state.h"
#include "tarragon/routing/crash_quarantine.h"
#include "tarragon/routing/endpoint_picker.h"
#include "tarragon/routing/service_config.h"

namespace tarragon::gateway {

/** Retry-After of requests that crash endpoints; long, because they will not be served soon. */
inline constexpr std::chrono::milliseconds kQuarantineRetryAfter{30000};

/**
 * Retry-After of requests that a stopping process leaves to others; short, because the caller's
 * next connection goes to another daemon.
 */
inline constexpr std::chrono::milliseconds kDrainingRetryAfter{50};

/** Route, account, size and deadline of an admitted request. */
struct admitted_request {
  /** Owns `route` and `service`; a later configuration does not affect the request. */
  routing::service_config_ptr config;
  const routing::route* route = nullptr;
  /** Null if the configuration does not describe the service. */
  const routing::service* service = nullptr;
  std::string service_name;
  /** Empty on public routes without a key. */
  std::string account;
  /** Of the client account if it has one, else of the route; 0 is the most urgent. */
  int priority = 0;
  routing::work_size size;
  /** Ids of the parts of the prompt that other requests may share, in their order. */
  std::vector<std::string> shared_parts;
  /** What may crash endpoints: the content (target, account and body) and the shared parts. */
  std::vector<routing::request_trait> traits;
  /** The earlier of the caller's deadline and the route's timeout. */
  time_point deadline;
  /** Id of the last stream event that the caller has received. */
  std::optional<std::uint64_t> last_event;
  /** Id of the caller's attempt that brought the first event; empty if the caller names none. */
  std::string resumed_request_id;
};

/** Response to a request that is rejected without being sent to an endpoint. */
struct rejected_request {
  int status = 0;
  std::string_view reason;
  /** Delay after which the caller may retry; set with status 503. */
  std::optional<std::chrono::milliseconds> retry_after;
};

/** Admits or rejects a request. @param request_id as sent by the caller; may be empty. */
std::variant<admitted_request, rejected_request> AdmitRequest(const gateway_state& gateway,
                                                              const caller_request& request,
                                                              std::string_view request_id);

/**
 * @param time_allowed time after which the request ends at the latest.
 * @return whether the request, if it is sent now, ends before this process. Always true unless the
 *     process is stopping.
 */
bool CanFinishBeforeExit(const gateway_state& gateway,
                         const admitted_request& admitted,
                         std::chrono::milliseconds time_allowed);

}  // namespace tarragon::gateway

#endif  // TARRAGON_GATEWAY_REQUEST_ADMISSION_H_
