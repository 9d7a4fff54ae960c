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
  /** Fleet key that resumption tickets are signed with. */
  std::string ticket_key;
  /** A stream gets a comment after this long without any other byte. */
  std::chrono::milliseconds keep_alive_interval{1000};
  /** Text that may wait for a caller that reads too slowly. */
  std::size_t mailbox_bytes = std::size_t{256} << 10;
  /** The same for classes whose answers arrive in one burst. */
  std::size_t held_mailbox_bytes = std::size_t{8} << 20;
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

  /** Answers one request of any path that belongs to callers. */
  void Handle(const httplib::Request& request, httplib::Response& response);

  /** @return number of answers that have not been written out. */
  std::size_t OpenAnswers() const;

 private:
  struct state;
  std::unique_ptr<state> state_;
};

}  // namespace tarragon::net

#endif  // TARRAGON_NET_CALLER_API_H_
