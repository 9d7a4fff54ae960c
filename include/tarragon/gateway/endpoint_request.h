#ifndef TARRAGON_GATEWAY_ENDPOINT_REQUEST_H_
#define TARRAGON_GATEWAY_ENDPOINT_REQUEST_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

#include "tarragon/gateway/caller_request.h"
#include "tarragon/gateway/platform_adapter.h"

namespace tarragon::gateway {

/** Header values that the gateway adds to the caller's request for one send. */
struct added_headers {
  /** The only endpoint that may accept the request. */
  std::string endpoint_id;
  /** Time until the request's deadline. */
  std::chrono::milliseconds remaining_time{0};
  /** Client account; empty if the request has none. */
  std::string account;
  /** Id of the event after which a resumed stream continues. */
  std::optional<std::uint64_t> last_event;
  /** Reference to the KV cache copy from which the endpoint continues; empty for none. */
  std::string kv_copy;
  /** Rank among the requests of an engine, 0 first; empty for plain services. */
  std::optional<int> priority = std::nullopt;
  /** Address of the engine that holds the backup of the KV cache; empty for none. */
  std::string backup_address;
};

/**
 * @return the serialized request for an endpoint. The caller's API key, hop-by-hop headers and
 *     headers that only the gateway may set are removed.
 */
std::string BuildEndpointRequest(const header_names& names,
                                 const caller_request& request,
                                 const added_headers& added);

}  // namespace tarragon::gateway

#endif  // TARRAGON_GATEWAY_ENDPOINT_REQUEST_H_
