#ifndef TARRAGON_NET_CALLER_REQUEST_H_
#define TARRAGON_NET_CALLER_REQUEST_H_

#include <boost/outcome/basic_result.hpp>
#include <boost/outcome/result.hpp>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

#include "tarragon/base/clock.h"
#include "tarragon/decision/event.h"
#include "tarragon/document/operating_document.h"
#include "tarragon/net/http_error.h"
#include "tarragon/net/open_request.h"

namespace tarragon::net {

/** A request as received, before validation. */
struct raw_request {
  std::string method;
  /** Percent-decoded path, without the query. */
  std::string path;
  /** Path and query as received, not decoded. */
  std::string target;
  std::string body;
  std::string content_type;
  std::optional<std::string> authorization;
  std::optional<std::string> idempotency_key;
  std::optional<std::string> deadline_ms;
  std::optional<std::string> request_class;
  std::optional<std::string> last_event_id;
  std::optional<std::string> resumption_ticket;
};

/** Position at which a returning caller resumes a generation. */
struct resumption {
  endpoint_name endpoint;
  generation_id generation;
  std::uint32_t next_index = 0;
};

enum class response_format : std::uint8_t { kCompletion, kChat, kService };

/** A validated request. */
struct caller_request {
  /** All fields are set except the id, `request`. */
  decision::request_properties properties;
  upstream_call call;
  response_format format = response_format::kCompletion;
  bool stream = false;
  /** The class holds the answer back until it is complete and delivers it in one burst. */
  bool held_until_complete = false;
  std::string model;
  std::optional<resumption> resume;
};

struct request_limits {
  std::uint32_t max_tokens = 1'000'000;
  std::chrono::milliseconds max_deadline = std::chrono::hours(24);
  std::chrono::milliseconds max_ticket_age = std::chrono::hours(1);
};

/** Monotonic and wall-clock time at which a request is parsed. */
struct clock_reading {
  time_point now;
  wall_time_point wall;
};

template <typename T>
using request_result = boost::outcome_v2::checked<T, http_error>;

/**
 * Authenticates and validates a request for `/v1/completions`, `/v1/chat/completions` or
 * `/services/{name}/{path}`.
 * @param key fleet-wide key that signs resumption tickets.
 * @return the request, or the error to respond with, whose verdict is always `kNotRun`.
 */
request_result<caller_request> ReadCallerRequest(const raw_request& raw,
                                                 const document::operating_document& document,
                                                 const request_limits& limits,
                                                 std::string_view key,
                                                 const clock_reading& time);

/** @return the account that owns the token of an `Authorization: Bearer` value, or a 401 error. */
request_result<const document::client_account*> Authenticate(
    const std::optional<std::string>& authorization,
    const document::operating_document& document);

/** @return the token of an `Authorization: Bearer` value, or empty. */
std::optional<std::string> BearerToken(const std::optional<std::string>& authorization);

}  // namespace tarragon::net

#endif  // TARRAGON_NET_CALLER_REQUEST_H_
