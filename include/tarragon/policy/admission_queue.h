#ifndef TARRAGON_POLICY_ADMISSION_QUEUE_H_
#define TARRAGON_POLICY_ADMISSION_QUEUE_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "tarragon/base/clock.h"
#include "tarragon/base/ids.h"
#include "tarragon/policy/service_rate.h"

namespace tarragon::policy {

struct admission_queue_options {
  std::size_t max_requests = 4096;
  std::size_t max_bytes = std::size_t{64} << 20;
  /** Maximum number of requests per class, one per account, that `Pop` passes to its predicate. */
  std::size_t max_probes = 16;
};

/** A request waiting for an endpoint. */
struct queued_request {
  request_id request{};
  std::string request_class;
  /** Urgent classes are served before all others. */
  bool urgent = false;
  /** Weight of the class among the classes of the same urgency; positive. */
  double class_weight = 1;
  account_id account{};
  /** Weight of the account within the class; positive. */
  double weight = 1;
  /** Amount of work, in any unit that is the same for all requests; positive. */
  double cost = 1;
  std::size_t bytes = 0;
  time_point deadline{};
  /** Expected time from leaving the queue to the event that must meet the deadline. */
  duration service_time{0};
};

enum class push_outcome : std::uint8_t {
  kQueued,
  /** The queue is full and this request may not displace any request in it. */
  kFull,
  /** At the current service rate the request would miss its deadline. */
  kTooLate,
};

struct push_result {
  push_outcome outcome = push_outcome::kQueued;
  /** Expected time in the queue; for a refused request, the suggested delay before a retry. */
  duration expected_wait{0};
  /** Requests removed from the queue to make room; they were never sent. */
  std::vector<request_id> displaced;
};

/**
 * Queue of one service at one entry. Serves urgent classes first, then classes by weight, and
 * accounts by weight within a class (start-time fair queueing). Operations take logarithmic time.
 */
class admission_queue final {
 public:
  explicit admission_queue(admission_queue_options options = {});

  /** Adds a request or refuses it immediately. `item.request` must not be queued already. */
  push_result Push(time_point now, const queued_request& item);

  /** Returns whether a request can be sent now. */
  using predicate = std::function<bool(const queued_request&)>;

  /**
   * Removes the first request in fair order that `can_send` accepts. Only the oldest request of
   * each account and class is tried, and at most `max_probes` per class.
   */
  std::optional<queued_request> Pop(time_point now, const predicate& can_send);

  /** Removes and returns the requests that can no longer meet their deadlines. */
  std::vector<request_id> Expire(time_point now);

  /** @return false if `request` is not queued. */
  bool Remove(request_id request);

  std::size_t Size() const { return items_.size(); }
  std::size_t Bytes() const { return bytes_; }

  void Validate() const;

 private:
  struct class_key {
    bool deferrable = false;
    std::string name;
    auto operator<=>(const class_key&) const = default;
  };

  struct class_queue;
  struct flow;
  struct waiting_request;
  using class_map = std::map<class_key, class_queue>;
  using deadline_set = std::set<std::pair<time_point, request_id>>;

  struct waiting_request {
    queued_request item;
    time_point enqueued_at;
    class_map::iterator class_it;
    flow* account_flow = nullptr;
    std::list<const waiting_request*>::iterator position;
    deadline_set::iterator latest_start;
  };

  struct flow {
    double weight = 1;
    /** Virtual start time of the oldest request and virtual finish time of the last one served. */
    double virtual_start = 0;
    double last_virtual_finish = 0;
    double backlog = 0;
    /** Requests in arrival order. */
    std::list<const waiting_request*> waiting;
  };

  struct class_queue {
    double weight = 1;
    double virtual_start = 0;
    double last_virtual_finish = 0;
    double virtual_time = 0;
    double backlog = 0;
    double active_weight = 0;
    std::unordered_map<account_id, flow> flows;
    /** Flows with waiting requests, ordered by the virtual start time of their oldest request. */
    std::set<std::pair<double, account_id>> heads;
    /** Flows with waiting requests, ordered by backlog / weight; the largest is displaced first. */
    std::set<std::pair<double, account_id>> by_backlog;
  };

  /** Backlog and service rate of one priority level, urgent or deferrable. */
  struct priority_level {
    std::size_t waiting = 0;
    double backlog = 0;
    service_rate rate;
  };

  static class_key MakeClassKey(const queued_request& item);
  double& VirtualTime(bool deferrable);
  priority_level& Level(bool deferrable) { return deferrable ? deferrable_ : urgent_; }
  const priority_level& Level(bool deferrable) const { return deferrable ? deferrable_ : urgent_; }
  duration ExpectedWait(const queued_request& item) const;
  bool MakeRoom(const queued_request& item, std::vector<request_id>& displaced);
  const waiting_request* FindVictim(const queued_request& item) const;
  const waiting_request* FindSendable(const class_queue& queue,
                                      const predicate& can_send,
                                      std::size_t& probes_left) const;
  void Insert(time_point now, const queued_request& item);
  void Erase(const waiting_request& removed, bool served);
  /** Adds `cost` to the backlog of an account and sets the account's weight. */
  static void UpdateBacklog(class_queue& queue,
                            account_id account,
                            flow& account_flow,
                            double weight,
                            double cost);
  static void UpdateHeadStart(class_queue& queue,
                              account_id account,
                              flow& account_flow,
                              double start);
  void RecordBusyTime(time_point now);

  admission_queue_options options_;
  class_map classes_;
  std::unordered_map<request_id, waiting_request> items_;
  /** Waiting requests, ordered by the latest time at which they can still be sent. */
  deadline_set by_latest_start_;
  std::size_t bytes_ = 0;
  double urgent_virtual_time_ = 0;
  double deferrable_virtual_time_ = 0;
  priority_level urgent_;
  priority_level deferrable_;
  time_point busy_recorded_until_{};
};

}  // namespace tarragon::policy

#endif  // TARRAGON_POLICY_ADMISSION_QUEUE_H_
