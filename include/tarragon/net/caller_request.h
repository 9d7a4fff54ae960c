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

/** A request as received, before any check. */
struct raw_request {
  std::string method;
  /** Decoded path, without the query. */
  std::string path;
  /** Path and query as received. */
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

/** Where a returning caller attaches. */
struct resumption {
  endpoint_name endpoint;
  generation_id generation;
  std::uint32_t next_index = 0;
};

enum class answer_format : std::uint8_t { kCompletion, kChat, kService };

/** What a checked request asks for. */
struct caller_request {
  /** Complete but for `request`, the id. */
  decision::request_facts facts;
  upstream_call call;
  answer_format format = answer_format::kCompletion;
  bool stream = false;
  /** The class delivers the answer in one burst, once it is whole. */
  bool held = false;
  std::string model;
  std::optional<resumption> resume;
};

struct request_limits {
  std::uint32_t max_tokens = 1'000'000;
  std::chrono::milliseconds max_deadline = std::chrono::hours(24);
  std::chrono::milliseconds max_ticket_age = std::chrono::hours(1);
};

/** Time of both kinds at which a request is read. */
struct reading_time {
  time_point now;
  wall_time_point wall;
};

template <typename T>
using request_result = boost::outcome_v2::checked<T, http_error>;

/**
 * Authenticates and checks a request for `/v1/completions`, `/v1/chat/completions` or
 * `/services/{name}/{path}`.
 * @param key fleet key of resumption tickets.
 * @return the request, or the error to answer with; its verdict is always `kNotRun`.
 */
request_result<caller_request> ReadCallerRequest(const raw_request& raw,
                                                 const document::operating_document& document,
                                                 const request_limits& limits,
                                                 std::string_view key,
                                                 const reading_time& time);

/** @return the account that an `Authorization: Bearer` value belongs to, or a 401 error. */
request_result<const document::client_account*> Authenticate(
    const std::optional<std::string>& authorization,
    const document::operating_document& document);

/** @return the token of an `Authorization: Bearer` value, or empty. */
std::optional<std::string> BearerToken(const std::optional<std::string>& authorization);

}  // namespace tarragon::net

#endif  // TARRAGON_NET_CALLER_REQUEST_H_
