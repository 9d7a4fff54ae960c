#ifndef TARRAGON_GATEWAY_ENDPOINT_REQUEST_H_
#define TARRAGON_GATEWAY_ENDPOINT_REQUEST_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

#include "tarragon/gateway/caller_request.h"
#include "tarragon/gateway/platform_adapter.h"

namespace tarragon::gateway {

/** What one send adds to the request as the caller made it. */
struct send_parts {
  /** The only endpoint that may take the request. */
  std::string endpoint_id;
  /** Time until the answer is of no use. */
  std::chrono::milliseconds left{0};
  /** Client account; empty where requests need no key. */
  std::string account;
  /** A stream goes on behind this event. */
  std::optional<std::uint64_t> last_event;
  /** Reference to the copy of memory to go on from; empty for none. */
  std::string memory_copy;
  /** Address of the engine that keeps a backup; empty for none. */
  std::string backup_address;
};

/**
 * @return the request as it goes to an endpoint: without the caller's key and without headers that
 *     concern one connection or are the gateway's to set.
 */
std::string EndpointRequest(const header_names& names,
                            const caller_request& request,
                            const send_parts& parts);

}  // namespace tarragon::gateway

#endif  // TARRAGON_GATEWAY_ENDPOINT_REQUEST_H_
