#include "tarragon/policy/admission_queue.h"

#include <algorithm>
#include <cmath>
#include <tuple>
#include <utility>

#include "tarragon/base/invariant.h"

namespace tarragon::policy {

namespace {

using seconds = std::chrono::duration<double>;

constexpr seconds kMaxExpectedWait = std::chrono::hours(1);

}  // namespace

admission_queue::admission_queue(admission_queue_options options) : options_(options) {}

admission_queue::class_key admission_queue::MakeClassKey(const queued_request& item) {
  return {!item.urgent, item.request_class};
}

double& admission_queue::VirtualTime(bool deferrable) {
  return deferrable ? deferrable_virtual_time_ : urgent_virtual_time_;
}

void admission_queue::RecordBusyTime(time_point now) {
  for (priority_level* level : {&urgent_, &deferrable_}) {
    if (level->waiting > 0 && now > busy_recorded_until_) {
      level->rate.RecordBusyTime(now - busy_recorded_until_);
    }
  }
  busy_recorded_until_ = std::max(busy_recorded_until_, now);
}

duration admission_queue::ExpectedWait(const queued_request& item) const {
  const class_key key = MakeClassKey(item);
  const priority_level& level = Level(key.deferrable);
  const auto mean_cost = [&item](const priority_level& measured) {
    return (measured.backlog + item.cost) / static_cast<double>(measured.waiting + 1);
  };
  // The measured rate of the deferrable level already allows for urgent requests, including those
  // yet to arrive. Without a measured rate, the wait includes the urgent backlog.
  double urgent_backlog = 0;
  std::optional<double> rate = level.rate.Estimate(mean_cost(level));
  if (!rate && key.deferrable) {
    urgent_backlog = urgent_.backlog;
    rate = urgent_.rate.Estimate(mean_cost(urgent_));
  }
  if (!rate) {
    return duration::zero();
  }
  const double level_backlog = level.backlog + item.cost;
  double other_class_weight = 0;
  for (const auto& [other, queue] : classes_) {
    if (other.deferrable == key.deferrable && other != key && queue.active_weight > 0) {
      other_class_weight += queue.weight;
    }
  }
  double own_backlog = item.cost;
  double class_backlog = item.cost;
  double other_account_weight = 0;
  if (const auto found = classes_.find(key); found != classes_.end()) {
    const class_queue& queue = found->second;
    class_backlog += queue.backlog;
    other_account_weight = queue.active_weight;
    const auto own = queue.flows.find(item.account);
    if (own != queue.flows.end() && !own->second.waiting.empty()) {
      own_backlog += own->second.backlog;
      other_account_weight = std::max(other_account_weight - own->second.weight, 0.0);
    }
  }
  // The work served before this request is bounded by the fair shares and by the total backlog.
  const double class_work_ahead =
      std::min(own_backlog * (item.weight + other_account_weight) / item.weight, class_backlog);
  const double level_work_ahead =
      std::min(class_work_ahead * (item.class_weight + other_class_weight) / item.class_weight,
               level_backlog);
  const seconds wait((urgent_backlog + level_work_ahead) / *rate);
  return std::chrono::duration_cast<duration>(std::min(wait, kMaxExpectedWait));
}

push_result admission_queue::Push(time_point now, const queued_request& item) {
  TARRAGON_INVARIANT(item.weight > 0 && item.class_weight > 0 && item.cost > 0,
                     "weight, class_weight and cost must be positive");
  TARRAGON_INVARIANT(!items_.contains(item.request), "request is already queued");
  RecordBusyTime(now);
  push_result result;
  result.expected_wait = ExpectedWait(item);
  if (now + result.expected_wait + item.service_time > item.deadline) {
    result.outcome = push_outcome::kTooLate;
    return result;
  }
  if (!MakeRoom(item, result.displaced)) {
    result.outcome = push_outcome::kFull;
    return result;
  }
  Insert(now, item);
  return result;
}

const admission_queue::waiting_request* admission_queue::FindVictim(
    const queued_request& item) const {
  const class_key key = MakeClassKey(item);
  const auto level_of = [this](bool deferrable) {
    const class_key first{deferrable, {}};
    const auto begin = classes_.lower_bound(first);
    const auto end = deferrable ? classes_.end() : classes_.lower_bound(class_key{true, {}});
    return std::pair(begin, end);
  };
  const auto largest_class = [&](bool deferrable) {
    const auto [begin, end] = level_of(deferrable);
    const class_queue* largest = nullptr;
    const class_key* largest_key = nullptr;
    double largest_backlog = 0;
    for (auto it = begin; it != end; ++it) {
      const double own = it->first == key ? item.cost : 0;
      const double backlog = (it->second.backlog + own) / it->second.weight;
      if (!it->second.by_backlog.empty() && backlog > largest_backlog) {
        largest = &it->second;
        largest_key = &it->first;
        largest_backlog = backlog;
      }
    }
    return std::pair(largest_key, largest);
  };
  auto [victim_key, victim] = largest_class(true);
  if (victim == nullptr && item.urgent) {
    std::tie(victim_key, victim) = largest_class(false);
  }
  if (victim == nullptr) {
    return nullptr;
  }
  const auto& [backlog, account] = *victim->by_backlog.rbegin();
  if (*victim_key == key) {
    const auto own = victim->flows.find(item.account);
    const double waiting = own == victim->flows.end() ? 0 : own->second.backlog;
    if ((waiting + item.cost) / item.weight >= backlog) {
      return nullptr;
    }
  }
  return victim->flows.at(account).waiting.back();
}

bool admission_queue::MakeRoom(const queued_request& item, std::vector<request_id>& displaced) {
  if (item.bytes > options_.max_bytes || options_.max_requests == 0) {
    return false;
  }
  while (items_.size() >= options_.max_requests || bytes_ + item.bytes > options_.max_bytes) {
    const waiting_request* victim = FindVictim(item);
    if (victim == nullptr) {
      return false;
    }
    displaced.push_back(victim->item.request);
    Erase(*victim, /*served=*/false);
  }
  return true;
}

void admission_queue::UpdateBacklog(class_queue& queue,
                                    account_id account,
                                    flow& account_flow,
                                    double weight,
                                    double cost) {
  // Reuses the set node, which saves an allocation per request.
  auto node = queue.by_backlog.extract({account_flow.backlog / account_flow.weight, account});
  queue.active_weight -= node.empty() ? 0 : account_flow.weight;
  queue.backlog += cost;
  account_flow.weight = weight;
  // Sets an exact zero, because repeated additions and subtractions leave a rounding error.
  account_flow.backlog = account_flow.waiting.empty() ? 0 : account_flow.backlog + cost;
  if (account_flow.waiting.empty()) {
    return;
  }
  queue.active_weight += weight;
  const std::pair key{account_flow.backlog / weight, account};
  if (node.empty()) {
    queue.by_backlog.insert(key);
  } else {
    node.value() = key;
    queue.by_backlog.insert(std::move(node));
  }
}

void admission_queue::UpdateHeadStart(class_queue& queue,
                                      account_id account,
                                      flow& account_flow,
                                      double start) {
  auto node = queue.heads.extract({account_flow.virtual_start, account});
  account_flow.virtual_start = start;
  if (account_flow.waiting.empty()) {
    return;
  }
  if (node.empty()) {
    queue.heads.emplace(start, account);
  } else {
    node.value() = {start, account};
    queue.heads.insert(std::move(node));
  }
}

void admission_queue::Insert(time_point now, const queued_request& item) {
  const auto class_it = classes_.try_emplace(MakeClassKey(item)).first;
  class_queue& queue = class_it->second;
  queue.weight = item.class_weight;
  if (queue.heads.empty()) {
    queue.virtual_start =
        std::max(VirtualTime(class_it->first.deferrable), queue.last_virtual_finish);
  }
  flow& account = queue.flows[item.account];
  waiting_request& added =
      items_.emplace(item.request, waiting_request{item, now, class_it, &account, {}, {}})
          .first->second;
  const bool was_idle = account.waiting.empty();
  added.position = account.waiting.insert(account.waiting.end(), &added);
  added.latest_start =
      by_latest_start_.emplace(item.deadline - item.service_time, item.request).first;
  UpdateBacklog(queue, item.account, account, item.weight, item.cost);
  if (was_idle) {
    UpdateHeadStart(queue, item.account, account,
                    std::max(queue.virtual_time, account.last_virtual_finish));
  }
  bytes_ += item.bytes;
  priority_level& level = Level(class_it->first.deferrable);
  level.waiting += 1;
  level.backlog += item.cost;
}

void admission_queue::Erase(const waiting_request& removed, bool served) {
  const queued_request& item = removed.item;
  class_queue& queue = removed.class_it->second;
  flow& account = *removed.account_flow;
  account.waiting.erase(removed.position);
  UpdateBacklog(queue, item.account, account, account.weight, -item.cost);
  double next_start = account.virtual_start;
  if (served) {
    queue.virtual_time = std::max(queue.virtual_time, account.virtual_start);
    account.last_virtual_finish = account.virtual_start + item.cost / account.weight;
    next_start = std::max(queue.virtual_time, account.last_virtual_finish);
    double& level_time = VirtualTime(removed.class_it->first.deferrable);
    level_time = std::max(level_time, queue.virtual_start);
    queue.last_virtual_finish = queue.virtual_start + item.cost / queue.weight;
    queue.virtual_start = std::max(level_time, queue.last_virtual_finish);
  }
  if (served || account.waiting.empty()) {
    UpdateHeadStart(queue, item.account, account, next_start);
  }
  if (account.waiting.empty() && account.last_virtual_finish <= queue.virtual_time) {
    queue.flows.erase(item.account);
  }
  bytes_ -= item.bytes;
  priority_level& level = Level(removed.class_it->first.deferrable);
  level.waiting -= 1;
  level.backlog = level.waiting == 0 ? 0 : std::max(level.backlog - item.cost, 0.0);
  if (level.waiting == 0) {
    level.rate.RecordIdle();
  }
  by_latest_start_.erase(removed.latest_start);
  if (queue.heads.empty()) {
    // An idle class starts a new busy period at virtual time zero, with no account ahead or behind.
    queue.flows.clear();
    queue.virtual_time = queue.backlog = queue.active_weight = 0;
  }
  items_.erase(item.request);
  if (items_.empty()) {
    classes_.clear();
    urgent_virtual_time_ = deferrable_virtual_time_ = 0;
  }
}

const admission_queue::waiting_request* admission_queue::FindSendable(
    const class_queue& queue,
    const predicate& can_send,
    std::size_t& probes_left) const {
  for (const auto& [start, account] : queue.heads) {
    if (probes_left == 0) {
      return nullptr;
    }
    probes_left -= 1;
    const waiting_request* head = queue.flows.at(account).waiting.front();
    if (can_send(head->item)) {
      return head;
    }
  }
  return nullptr;
}

std::optional<queued_request> admission_queue::Pop(time_point now, const predicate& can_send) {
  RecordBusyTime(now);
  std::vector<std::pair<const class_key*, const class_queue*>> order;
  order.reserve(classes_.size());
  for (const auto& [key, queue] : classes_) {
    if (!queue.heads.empty()) {
      order.emplace_back(&key, &queue);
    }
  }
  std::ranges::sort(order, {}, [](const auto& keyed_queue) {
    return std::tuple(keyed_queue.first->deferrable, keyed_queue.second->virtual_start,
                      keyed_queue.first->name);
  });
  const waiting_request* chosen = nullptr;
  for (const auto& [key, queue] : order) {
    // The limit applies per class, so that a class with no sendable request cannot block another.
    std::size_t probes_left = options_.max_probes;
    chosen = FindSendable(*queue, can_send, probes_left);
    if (chosen != nullptr) {
      break;
    }
  }
  if (chosen == nullptr) {
    return std::nullopt;
  }
  // A request that never waited is no evidence of the rate at which a backlog is served.
  if (chosen->enqueued_at < now) {
    Level(chosen->class_it->first.deferrable).rate.RecordDeparture(chosen->item.cost);
  }
  queued_request item = chosen->item;
  Erase(*chosen, /*served=*/true);
  return item;
}

std::vector<request_id> admission_queue::Expire(time_point now) {
  RecordBusyTime(now);
  std::vector<request_id> expired;
  while (!by_latest_start_.empty() && by_latest_start_.begin()->first < now) {
    const request_id request = by_latest_start_.begin()->second;
    Erase(items_.at(request), /*served=*/false);
    expired.push_back(request);
  }
  return expired;
}

bool admission_queue::Remove(request_id request) {
  const auto found = items_.find(request);
  if (found == items_.end()) {
    return false;
  }
  Erase(found->second, /*served=*/false);
  return true;
}

void admission_queue::Validate() const {
  constexpr double kRounding = 1e-6;
  std::size_t waiting = 0;
  std::size_t bytes = 0;
  for (const auto& [request, queued] : items_) {
    bytes += queued.item.bytes;
  }
  for (const auto& [key, queue] : classes_) {
    double class_cost = 0;
    double active_weight = 0;
    for (const auto& [account, flow] : queue.flows) {
      double cost = 0;
      for (const waiting_request* queued : flow.waiting) {
        TARRAGON_INVARIANT(queued->account_flow == &flow && queued->item.account == account,
                           "request is queued under another account");
        cost += queued->item.cost;
      }
      waiting += flow.waiting.size();
      class_cost += cost;
      active_weight += flow.waiting.empty() ? 0 : flow.weight;
      TARRAGON_INVARIANT(std::abs(cost - flow.backlog) <= kRounding * std::max(1.0, cost),
                         "backlog of an account differs from the sum of its requests");
      TARRAGON_INVARIANT(
          flow.waiting.empty() == !queue.heads.contains({flow.virtual_start, account}),
          "heads must list exactly the accounts with waiting requests");
    }
    TARRAGON_INVARIANT(queue.heads.size() == queue.by_backlog.size(),
                       "heads and by_backlog differ in size");
    TARRAGON_INVARIANT(
        std::abs(class_cost - queue.backlog) <= kRounding * std::max(1.0, class_cost),
        "backlog of a class differs from the sum of its requests");
    TARRAGON_INVARIANT(
        std::abs(active_weight - queue.active_weight) <= kRounding * std::max(1.0, active_weight),
        "active_weight differs from the sum of its accounts");
  }
  TARRAGON_INVARIANT(waiting == items_.size(),
                     "flows and items_ differ in their number of requests");
  TARRAGON_INVARIANT(by_latest_start_.size() == items_.size(),
                     "by_latest_start_ and items_ differ in size");
  TARRAGON_INVARIANT(bytes == bytes_, "bytes_ differs from the sum of the requests");
  TARRAGON_INVARIANT(items_.size() <= options_.max_requests && bytes_ <= options_.max_bytes,
                     "queue exceeds max_requests or max_bytes");
}

}  // namespace tarragon::policy
