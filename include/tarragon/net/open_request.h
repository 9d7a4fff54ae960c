#ifndef TARRAGON_NET_OPEN_REQUEST_H_
#define TARRAGON_NET_OPEN_REQUEST_H_

#include <cstddef>
#include <memory>
#include <string>
#include <utility>

#include "tarragon/decision/event.h"
#include "tarragon/net/caller_mailbox.h"

namespace tarragon::net {

/** HTTP request that is sent to an endpoint; the decision library does not use it. */
struct upstream_call {
  std::string method;
  /** Path and query, as sent on the request line. */
  std::string target;
  std::string content_type;
  /** For generations a JSON object without its closing brace; `upstream` appends the priority. */
  std::string body;
};

/** A request of a connected caller. Only the mailbox changes after construction. */
struct open_request {
  open_request(decision::request_properties request, upstream_call upstream, std::size_t max_bytes)
      : properties(std::move(request)), call(std::move(upstream)), mailbox(max_bytes) {}

  const decision::request_properties properties;
  const upstream_call call;
  caller_mailbox mailbox;
};

using open_request_ptr = std::shared_ptr<open_request>;

}  // namespace tarragon::net

#endif  // TARRAGON_NET_OPEN_REQUEST_H_
