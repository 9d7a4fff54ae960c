#ifndef TARRAGON_GATEWAY_CALLER_REQUEST_H_
#define TARRAGON_GATEWAY_CALLER_REQUEST_H_

#include <string>

#include "tarragon/base/clock.h"
#include "tarragon/http/message_reader.h"

namespace tarragon::gateway {

/** A complete caller request. */
struct caller_request {
  http::message_head head;
  std::string body;
  /** When the first byte of the request was read. */
  time_point received;
};

}  // namespace tarragon::gateway

#endif  // TARRAGON_GATEWAY_CALLER_REQUEST_H_
