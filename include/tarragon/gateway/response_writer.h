#ifndef TARRAGON_GATEWAY_RESPONSE_WRITER_H_
#define TARRAGON_GATEWAY_RESPONSE_WRITER_H_

#include <string_view>

#include "tarragon/http/header_list.h"

namespace tarragon::gateway {

/** Writes the response to one caller request. A request gets exactly one response. */
class response_writer {
 public:
  virtual ~response_writer() = default;

  /** Sends a complete response. */
  virtual void SendResponse(int status, http::header_list headers, std::string_view body) = 0;

  /** Sends the head of a response whose body follows in `SendStreamBytes` calls. */
  virtual void BeginStream(int status, http::header_list headers) = 0;
  virtual void SendStreamBytes(std::string_view bytes) = 0;
  virtual void EndStream() = 0;

  /** Resets the connection, so that the caller sees that the response is incomplete. */
  virtual void AbortResponse() = 0;
};

}  // namespace tarragon::gateway

#endif  // TARRAGON_GATEWAY_RESPONSE_WRITER_H_
