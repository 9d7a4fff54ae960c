#include "tarragon/gateway/endpoint_request.h"

#include <fmt/format.h>

#include <algorithm>

namespace tarragon::gateway {

namespace {

/** Engines know the priorities 0 to 9. */
constexpr int kLastPriority = 9;

/** Chunked bodies have been received in full and are sent with a Content-Length. */
bool HasBody(const caller_request& request) {
  return !request.body.empty() || request.head.headers.Find("Content-Length") ||
         request.head.headers.Find("Transfer-Encoding");
}

}  // namespace

std::string BuildEndpointRequest(const header_names& names,
                                 const caller_request& request,
                                 const added_headers& added) {
  http::header_list headers = request.head.headers;
  headers.RemoveHopByHop();
  headers.Remove("Expect");
  headers.Remove(names.credentials);
  std::ranges::for_each(names.reserved, [&](const std::string& name) { headers.Remove(name); });
  const auto set_if_present = [&headers](const std::string& name, const std::string& value) {
    if (!value.empty()) {
      headers.Set(name, value);
    }
  };
  headers.Set(names.deadline, std::to_string(added.remaining_time.count()));
  headers.Set(names.expected_endpoint, added.endpoint_id);
  set_if_present(names.account, added.account);
  set_if_present(names.last_event_id, added.last_event ? std::to_string(*added.last_event) : "");
  set_if_present(names.kv_copy, added.kv_copy);
  set_if_present(names.backup_engine, added.backup_address);
  set_if_present(
      names.request_priority,
      added.priority ? std::to_string(std::clamp(*added.priority, 0, kLastPriority)) : "");
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
