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
  /** Heads of accounts per class that one `Pop` offers to its predicate. */
  std::size_t max_probes = 16;
};

/** A request that waits for an endpoint. */
struct queued_request {
  request_id request{};
  std::string request_class;
  /** Urgent classes leave before all others. */
  bool urgent = false;
  /** Share of the class among the classes that are as urgent; positive. */
  double class_weight = 1;
  account_id account{};
  /** Share of the account inside the class; positive. */
  double weight = 1;
  /** Amount of work in any unit, the same for all requests; positive. */
  double cost = 1;
  std::size_t bytes = 0;
  time_point deadline{};
  /** Time from leaving the queue to the point that the deadline is for. */
  duration service_time{0};
};

enum class push_outcome : std::uint8_t {
  kQueued,
  /** The queue is full and nothing in it may be displaced by this request. */
  kFull,
  /** At the present rate the request would not be served before its deadline. */
  kTooLate,
};

struct push_result {
  push_outcome outcome = push_outcome::kQueued;
  /** Expected time in the queue; for a refusal, when a retry may be useful. */
  duration expected_wait{0};
  /** Requests removed to make room; they did not run. */
  std::vector<request_id> displaced;
};

/**
 * Queue of one service at one entry: urgent classes first, then classes by weight, and inside a
 * class accounts by weight (start-time fair queueing). Each operation takes logarithmic time.
 */
class admission_queue final {
 public:
  explicit admission_queue(admission_queue_options options = {});

  /** Adds a request, or refuses it at once. `request` must not be queued already. */
  push_result Push(time_point now, const queued_request& item);

  /** Says whether a request can be sent now. */
  using predicate = std::function<bool(const queued_request&)>;

  /**
   * Takes the first request in fair order that `can_send` accepts. Only the oldest request of each
   * account and class is offered, and at most `max_probes` of each class.
   */
  std::optional<queued_request> Pop(time_point now, const predicate& can_send);

  /** Removes and returns the requests that can no longer meet their deadline. */
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
  struct entry;
  using class_map = std::map<class_key, class_queue>;
  using deadline_set = std::set<std::pair<time_point, request_id>>;

  struct entry {
    queued_request item;
    time_point since;
    class_map::iterator queue;
    flow* account = nullptr;
    std::list<const entry*>::iterator place;
    deadline_set::iterator latest_start;
  };

  struct flow {
    double weight = 1;
    /** Virtual times of the head's start and of the end of the last request served. */
    double start = 0;
    double last_finish = 0;
    double backlog = 0;
    /** Requests in order of arrival. */
    std::list<const entry*> waiting;
  };

  struct class_queue {
    double weight = 1;
    double start = 0;
    double last_finish = 0;
    double virtual_time = 0;
    double backlog = 0;
    double active_weight = 0;
    std::unordered_map<account_id, flow> flows;
    /** Flows with waiting requests by the start of their head. */
    std::set<std::pair<double, account_id>> heads;
    /** Flows with waiting requests by backlog per weight; the largest is displaced first. */
    std::set<std::pair<double, account_id>> by_backlog;
  };

  /** Requests of one level, urgent or deferrable, and how fast they leave. */
  struct level_state {
    std::size_t waiting = 0;
    double backlog = 0;
    service_rate rate;
  };

  static class_key KeyOf(const queued_request& item);
  double& VirtualTime(bool deferrable);
  level_state& Level(bool deferrable) { return deferrable ? deferrable_ : urgent_; }
  const level_state& Level(bool deferrable) const { return deferrable ? deferrable_ : urgent_; }
  duration ExpectedWait(const queued_request& item) const;
  bool MakeRoom(const queued_request& item, std::vector<request_id>& displaced);
  const entry* FindVictim(const queued_request& item) const;
  const entry* FindSendable(const class_queue& queue,
                            const predicate& can_send,
                            std::size_t& probes_left) const;
  void Insert(time_point now, const queued_request& item);
  void Erase(const entry& known, bool served);
  /** Adds `cost` to the backlog of an account and gives it a new weight. */
  static void ChangeBacklog(class_queue& queue,
                            account_id account,
                            flow& changed,
                            double weight,
                            double cost);
  static void MoveHead(class_queue& queue, account_id account, flow& changed, double start);
  void ObserveTime(time_point now);

  admission_queue_options options_;
  class_map classes_;
  std::unordered_map<request_id, entry> items_;
  /** Waiting requests by the latest time at which they can leave. */
  deadline_set by_latest_start_;
  std::size_t bytes_ = 0;
  double urgent_virtual_time_ = 0;
  double deferrable_virtual_time_ = 0;
  level_state urgent_;
  level_state deferrable_;
  time_point observed_until_{};
};

}  // namespace tarragon::policy

#endif  // TARRAGON_POLICY_ADMISSION_QUEUE_H_
