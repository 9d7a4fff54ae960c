#ifndef TARRAGON_GATEWAY_REQUEST_QUEUE_H_
#define TARRAGON_GATEWAY_REQUEST_QUEUE_H_

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <chrono>
#include <cstddef>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "tarragon/base/metrics.h"
#include "tarragon/routing/admission_order.h"

namespace tarragon::gateway {

/** A request that can wait in a `request_queue`. */
class queue_member {
 public:
  virtual ~queue_member() = default;
  /** Looks for an engine with capacity; the request may join the queue again. */
  virtual void OnTurn() = 0;
  /** @return whether the request still wants an engine. */
  virtual bool IsWaiting() const = 0;
  virtual routing::queued_request DescribePlace() const = 0;
};

/**
 * The requests of each service that wait at this daemon for an engine with capacity. They look for
 * one together, in the order of `routing::Precedes`.
 */
class request_queue final {
 public:
  request_queue(asio::io_context& loop, metrics& counters) : loop_(loop), counters_(counters) {}

  /** Adds a request; the next turn of its service comes within `delay`. */
  void Join(const std::string& service,
            std::shared_ptr<queue_member> member,
            std::chrono::milliseconds delay);

  /** @return whether a request that waits goes before `request`. */
  bool HasPredecessor(const std::string& service, const routing::queued_request& request) const;

 private:
  struct service_queue {
    explicit service_queue(asio::io_context& loop) : timer(loop) {}

    std::vector<std::shared_ptr<queue_member>> members;
    asio::steady_timer timer;
    bool is_turn_scheduled = false;
  };

  void TakeTurns(const std::string& service);
  void ReportSize(int priority, std::ptrdiff_t change);

  asio::io_context& loop_;
  metrics& counters_;
  std::map<std::string, service_queue, std::less<>> queues_;
  /** Requests in all queues, by priority. */
  std::map<int, std::ptrdiff_t> sizes_;
};

}  // namespace tarragon::gateway

#endif  // TARRAGON_GATEWAY_REQUEST_QUEUE_H_
