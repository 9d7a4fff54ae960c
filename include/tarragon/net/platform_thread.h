#ifndef TARRAGON_NET_PLATFORM_THREAD_H_
#define TARRAGON_NET_PLATFORM_THREAD_H_

#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <vector>

#include "tarragon/base/clock.h"
#include "tarragon/decision/event.h"
#include "tarragon/document/document_replica.h"
#include "tarragon/net/core_thread.h"

namespace tarragon {
class metrics;
}
namespace tarragon::store {
class platform_store;
struct listed_vm;
}  // namespace tarragon::store

namespace tarragon::net {

struct platform_thread_options {
  /** Short enough that an endpoint listed as leaving gets no new work after 3 s. */
  std::chrono::milliseconds vm_list_interval{1000};
  /** Maximum number of queued claim actions; further calls are rejected with `not-run`. */
  std::size_t claim_queue_capacity = 1024;
  /** Number of threads that write claims, so that one slow response does not delay all calls. */
  std::size_t claim_threads = 4;
  /** Delay before the failed completion or release of a claim is retried. */
  std::chrono::milliseconds claim_retry_interval{500};
};

/** Runs the threads that call the platform to write claims and to read the VM list. */
class platform_thread final {
 public:
  using event_sink = std::function<void(decision::event&&)>;
  /** Receives the whole list after each successful read. */
  using vm_list_sink = std::function<void(const std::vector<store::listed_vm>&)>;

  /** @param store, documents, time, counters must outlive this object. */
  platform_thread(platform_thread_options options,
                  store::platform_store& store,
                  const document::document_replica& documents,
                  event_sink sink,
                  vm_list_sink list_sink,
                  const clock& time,
                  metrics& counters);
  ~platform_thread();

  void Start();
  void Stop();

  /** Queues a claim action without blocking. @return false if the queue is full or closed. */
  bool TryPush(const claim_action& action);

  /** @return number of claim actions that are queued or in progress. */
  std::size_t PendingClaims() const;

 private:
  struct state;
  std::unique_ptr<state> state_;
};

}  // namespace tarragon::net

#endif  // TARRAGON_NET_PLATFORM_THREAD_H_
