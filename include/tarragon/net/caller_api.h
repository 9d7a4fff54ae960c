#ifndef TARRAGON_NET_CALLER_API_H_
#define TARRAGON_NET_CALLER_API_H_

#include <atomic>
#include <chrono>
#include <cstdint>
#include <memory>
#include <string>

#include "tarragon/base/clock.h"
#include "tarragon/document/document_replica.h"
#include "tarragon/net/caller_request.h"

namespace httplib {
struct Request;
struct Response;
}  // namespace httplib

namespace tarragon {
class metrics;
}

namespace tarragon::net {

class core_thread;
struct caller_api_options {
  request_limits limits;
  /** Fleet-wide key that signs resumption tickets. */
  std::string ticket_key;
  /** An idle stream is sent an SSE comment at this interval. */
  std::chrono::milliseconds keep_alive_interval{1000};
  /** Limit on the text queued for a caller that reads a stream too slowly. */
  std::size_t mailbox_bytes = std::size_t{256} << 10;
  /** Same limit for responses that arrive in one burst or are not streamed. */
  std::size_t burst_mailbox_bytes = std::size_t{8} << 20;
};

/** Serves `/v1/...` and `/services/...` on the threads of the HTTP server. */
class caller_api final {
 public:
  caller_api(caller_api_options options,
             core_thread& core,
             const document::document_replica& documents,
             const clock& time,
             metrics& counters);
  ~caller_api();

  /** Handles one request to any caller path; other paths get a 404 response. */
  void Handle(const httplib::Request& request, httplib::Response& response);

  /** @return number of responses that have not been written completely. */
  std::size_t OpenResponses() const;

 private:
  struct state;
  std::unique_ptr<state> state_;
};

}  // namespace tarragon::net

#endif  // TARRAGON_NET_CALLER_API_H_
