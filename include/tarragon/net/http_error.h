#ifndef TARRAGON_NET_HTTP_ERROR_H_
#define TARRAGON_NET_HTTP_ERROR_H_

#include <chrono>
#include <string>

#include "tarragon/base/run_verdict.h"
#include "tarragon/decision/action.h"

namespace tarragon::net {

/** An error response in the format of the OpenAI API. */
struct http_error {
  int status = 500;
  /** Machine-readable reason, such as `queue_full`. */
  std::string code;
  std::string message;
  run_verdict verdict = run_verdict::kNotRun;
  /** Sent as `Retry-After`, in whole seconds, if positive. */
  std::chrono::milliseconds retry_after{0};

  /** @return `{"error":{"type","code","message"}}`. */
  std::string Body() const;
};

/** @return the error response for a request that the request engine finished without a result. */
http_error MakeError(const decision::finish_request& finish);

/** @return the value of a `Retry-After` header: whole seconds, at least 1. */
std::string RetryAfterSeconds(std::chrono::milliseconds wait);

}  // namespace tarragon::net

#endif  // TARRAGON_NET_HTTP_ERROR_H_
