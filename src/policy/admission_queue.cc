#include "tarragon/policy/admission_queue.h"

#include <algorithm>
#include <cmath>
#include <tuple>
#include <utility>

#include "tarragon/base/invariant.h"

namespace tarragon::policy {

namespace {

using seconds = std::chrono::duration<double>;

constexpr seconds kLongestWait = std::chrono::hours(1);

}  // namespace

admission_queue::admission_queue(admission_queue_options options) : options_(options) {}

admission_queue::class_key admission_queue::KeyOf(const queued_request& item) {
  return {!item.urgent, item.request_class};
}

double& admission_queue::VirtualTime(bool deferrable) {
  return deferrable ? deferrable_virtual_time_ : urgent_virtual_time_;
}

void admission_queue::ObserveTime(time_point now) {
  for (level_state* level : {&urgent_, &deferrable_}) {
    if (level->waiting > 0 && now > observed_until_) {
      level->rate.RecordBusyTime(now - observed_until_);
    }
  }
  observed_until_ = std::max(observed_until_, now);
}

duration admission_queue::ExpectedWait(const queued_request& item) const {
  const class_key key = KeyOf(item);
  const level_state& level = Level(key.deferrable);
  const auto mean = [&item](const level_state& of) {
    return (of.backlog + item.cost) / static_cast<double>(of.waiting + 1);
  };
  // The rate of the own level is what urgent work leaves over, also of urgent work yet to come.
  double ahead = 0;
  std::optional<double> rate = level.rate.Estimate(mean(level));
  if (!rate && key.deferrable) {
    ahead = urgent_.backlog;
    rate = urgent_.rate.Estimate(mean(urgent_));
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
  // Fair shares bound the work that leaves before this request, and so does all work that waits.
  const double in_class =
      std::min(own_backlog * (item.weight + other_account_weight) / item.weight, class_backlog);
  const double in_level = std::min(
      in_class * (item.class_weight + other_class_weight) / item.class_weight, level_backlog);
  const seconds wait((ahead + in_level) / *rate);
  return std::chrono::duration_cast<duration>(std::min(wait, kLongestWait));
}

push_result admission_queue::Push(time_point now, const queued_request& item) {
  TARRAGON_INVARIANT(item.weight > 0 && item.class_weight > 0 && item.cost > 0,
                     "weights and cost must be positive");
  TARRAGON_INVARIANT(!items_.contains(item.request), "request queued twice");
  ObserveTime(now);
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

const admission_queue::entry* admission_queue::FindVictim(const queued_request& item) const {
  const class_key key = KeyOf(item);
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
    const entry* victim = FindVictim(item);
    if (victim == nullptr) {
      return false;
    }
    displaced.push_back(victim->item.request);
    Erase(*victim, /*served=*/false);
  }
  return true;
}

void admission_queue::ChangeBacklog(class_queue& queue,
                                    account_id account,
                                    flow& changed,
                                    double weight,
                                    double cost) {
  // The node is moved rather than made anew, which saves an allocation per request.
  auto node = queue.by_backlog.extract({changed.backlog / changed.weight, account});
  queue.active_weight -= node.empty() ? 0 : changed.weight;
  queue.backlog += cost;
  changed.weight = weight;
  // Exact zero, as sums of differences leave a remainder.
  changed.backlog = changed.waiting.empty() ? 0 : changed.backlog + cost;
  if (changed.waiting.empty()) {
    return;
  }
  queue.active_weight += weight;
  const std::pair key{changed.backlog / weight, account};
  if (node.empty()) {
    queue.by_backlog.insert(key);
  } else {
    node.value() = key;
    queue.by_backlog.insert(std::move(node));
  }
}

void admission_queue::MoveHead(class_queue& queue,
                               account_id account,
                               flow& changed,
                               double start) {
  auto node = queue.heads.extract({changed.start, account});
  changed.start = start;
  if (changed.waiting.empty()) {
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
  const auto known_class = classes_.try_emplace(KeyOf(item)).first;
  class_queue& queue = known_class->second;
  queue.weight = item.class_weight;
  if (queue.heads.empty()) {
    queue.start = std::max(VirtualTime(known_class->first.deferrable), queue.last_finish);
  }
  flow& account = queue.flows[item.account];
  entry& added =
      items_.emplace(item.request, entry{item, now, known_class, &account, {}, {}}).first->second;
  const bool was_idle = account.waiting.empty();
  added.place = account.waiting.insert(account.waiting.end(), &added);
  added.latest_start =
      by_latest_start_.emplace(item.deadline - item.service_time, item.request).first;
  ChangeBacklog(queue, item.account, account, item.weight, item.cost);
  if (was_idle) {
    MoveHead(queue, item.account, account, std::max(queue.virtual_time, account.last_finish));
  }
  bytes_ += item.bytes;
  level_state& level = Level(known_class->first.deferrable);
  level.waiting += 1;
  level.backlog += item.cost;
}

void admission_queue::Erase(const entry& known, bool served) {
  const queued_request& item = known.item;
  class_queue& queue = known.queue->second;
  flow& account = *known.account;
  account.waiting.erase(known.place);
  ChangeBacklog(queue, item.account, account, account.weight, -item.cost);
  double next_start = account.start;
  if (served) {
    queue.virtual_time = std::max(queue.virtual_time, account.start);
    account.last_finish = account.start + item.cost / account.weight;
    next_start = std::max(queue.virtual_time, account.last_finish);
    double& level_time = VirtualTime(known.queue->first.deferrable);
    level_time = std::max(level_time, queue.start);
    queue.last_finish = queue.start + item.cost / queue.weight;
    queue.start = std::max(level_time, queue.last_finish);
  }
  if (served || account.waiting.empty()) {
    MoveHead(queue, item.account, account, next_start);
  }
  if (account.waiting.empty() && account.last_finish <= queue.virtual_time) {
    queue.flows.erase(item.account);
  }
  bytes_ -= item.bytes;
  level_state& level = Level(known.queue->first.deferrable);
  level.waiting -= 1;
  level.backlog = level.waiting == 0 ? 0 : std::max(level.backlog - item.cost, 0.0);
  if (level.waiting == 0) {
    level.rate.RecordIdle();
  }
  by_latest_start_.erase(known.latest_start);
  if (queue.heads.empty()) {
    // An idle class starts a new period, in which no account is behind or ahead.
    queue.flows.clear();
    queue.virtual_time = queue.backlog = queue.active_weight = 0;
  }
  items_.erase(item.request);
  if (items_.empty()) {
    classes_.clear();
    urgent_virtual_time_ = deferrable_virtual_time_ = 0;
  }
}

const admission_queue::entry* admission_queue::FindSendable(const class_queue& queue,
                                                            const predicate& can_send,
                                                            std::size_t& probes_left) const {
  for (const auto& [start, account] : queue.heads) {
    if (probes_left == 0) {
      return nullptr;
    }
    probes_left -= 1;
    const entry* head = queue.flows.at(account).waiting.front();
    if (can_send(head->item)) {
      return head;
    }
  }
  return nullptr;
}

std::optional<queued_request> admission_queue::Pop(time_point now, const predicate& can_send) {
  ObserveTime(now);
  std::vector<std::pair<const class_key*, const class_queue*>> order;
  order.reserve(classes_.size());
  for (const auto& [key, queue] : classes_) {
    if (!queue.heads.empty()) {
      order.emplace_back(&key, &queue);
    }
  }
  std::ranges::sort(order, {}, [](const auto& known) {
    return std::tuple(known.first->deferrable, known.second->start, known.first->name);
  });
  const entry* chosen = nullptr;
  for (const auto& [key, queue] : order) {
    // Each class has its own bound, so that one whose work does not fit now cannot hide another.
    std::size_t probes_left = options_.max_probes;
    chosen = FindSendable(*queue, can_send, probes_left);
    if (chosen != nullptr) {
      break;
    }
  }
  if (chosen == nullptr) {
    return std::nullopt;
  }
  // A request that leaves at once says nothing of the rate at which a backlog is served.
  if (chosen->since < now) {
    Level(chosen->queue->first.deferrable).rate.RecordDeparture(chosen->item.cost);
  }
  queued_request item = chosen->item;
  Erase(*chosen, /*served=*/true);
  return item;
}

std::vector<request_id> admission_queue::Expire(time_point now) {
  ObserveTime(now);
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
  for (const auto& [request, known] : items_) {
    bytes += known.item.bytes;
  }
  for (const auto& [key, queue] : classes_) {
    double class_cost = 0;
    double active_weight = 0;
    for (const auto& [account, flow] : queue.flows) {
      double cost = 0;
      for (const entry* known : flow.waiting) {
        TARRAGON_INVARIANT(known->account == &flow && known->item.account == account,
                           "request queued under another account");
        cost += known->item.cost;
      }
      waiting += flow.waiting.size();
      class_cost += cost;
      active_weight += flow.waiting.empty() ? 0 : flow.weight;
      TARRAGON_INVARIANT(std::abs(cost - flow.backlog) <= kRounding * std::max(1.0, cost),
                         "backlog of an account does not add up");
      TARRAGON_INVARIANT(flow.waiting.empty() == !queue.heads.contains({flow.start, account}),
                         "account with waiting requests has no head");
    }
    TARRAGON_INVARIANT(queue.heads.size() == queue.by_backlog.size(), "indices disagree");
    TARRAGON_INVARIANT(
        std::abs(class_cost - queue.backlog) <= kRounding * std::max(1.0, class_cost),
        "backlog of a class does not add up");
    TARRAGON_INVARIANT(
        std::abs(active_weight - queue.active_weight) <= kRounding * std::max(1.0, active_weight),
        "active weight does not add up");
  }
  TARRAGON_INVARIANT(waiting == items_.size(), "request in no account's queue");
  TARRAGON_INVARIANT(by_latest_start_.size() == items_.size(), "request without a deadline");
  TARRAGON_INVARIANT(bytes == bytes_, "bytes do not add up");
  TARRAGON_INVARIANT(items_.size() <= options_.max_requests && bytes_ <= options_.max_bytes,
                     "queue above its bounds");
}

}  // namespace tarragon::policy
