#ifndef TARRAGON_GATEWAY_ENDPOINT_STATEMENTS_H_
#define TARRAGON_GATEWAY_ENDPOINT_STATEMENTS_H_

#include <string_view>

#include "tarragon/gateway/gateway_state.h"
#include "tarragon/http/message_reader.h"
#include "tarragon/routing/endpoint_registry.h"

namespace tarragon::gateway {

/**
 * Records what an endpoint says about itself in a response: its load, its rate limit, that it
 * leaves and how long it wants no requests. Logs each change.
 * @param request_id request that the response answers.
 */
void RecordStatements(gateway_state& gateway,
                      const routing::endpoint_ptr& target,
                      const http::message_head& head,
                      std::string_view request_id);

}  // namespace tarragon::gateway

#endif  // TARRAGON_GATEWAY_ENDPOINT_STATEMENTS_H_
