#include "tarragon/gateway/endpoint_request.h"

#include <fmt/format.h>

#include <algorithm>

namespace tarragon::gateway {

namespace {

/** A body that came in chunks is whole by now and is sent with its length. */
bool HasBody(const caller_request& request) {
  return !request.body.empty() || request.head.headers.Find("Content-Length") != nullptr ||
         request.head.headers.Find("Transfer-Encoding") != nullptr;
}

}  // namespace

std::string EndpointRequest(const header_names& names,
                            const caller_request& request,
                            const send_parts& parts) {
  http::header_list headers = request.head.headers;
  headers.RemoveHopByHop();
  headers.Remove("Expect");
  headers.Remove(names.credentials);
  std::ranges::for_each(names.reserved, [&](const std::string& name) { headers.Remove(name); });
  const auto set_known = [&headers](const std::string& name, const std::string& value) {
    if (!value.empty()) {
      headers.Set(name, value);
    }
  };
  headers.Set(names.deadline, std::to_string(parts.left.count()));
  headers.Set(names.expected_endpoint, parts.endpoint_id);
  set_known(names.account, parts.account);
  set_known(names.last_event_id, parts.last_event ? std::to_string(*parts.last_event) : "");
  set_known(names.memory_copy, parts.memory_copy);
  set_known(names.backup_engine, parts.backup_address);
  std::string wire = fmt::format("{} {} HTTP/1.1\r\n", request.head.method, request.head.target);
  headers.AppendTo(wire);
  if (HasBody(request)) {
    wire += fmt::format("Content-Length: {}\r\n", request.body.size());
  }
  wire += "\r\n";
  wire += request.body;
  return wire;
}

}  // namespace tarragon::gateway
