#include "fakes/fake_endpoint/batch_scheduler.h"

#include <algorithm>
#include <numeric>
#include <utility>

#include "tarragon/base/invariant.h"

namespace tarragon::fakes {

batch_scheduler::batch_scheduler(scheduler_limits limits) : limits_(limits) {}

submit_outcome batch_scheduler::Submit(const scheduled_request& request) {
  TARRAGON_INVARIANT(request.output_tokens > 0, "output_tokens must be at least 1");
  if (request.prompt_tokens + std::uint64_t{1} > limits_.kv_tokens) {
    return submit_outcome::kTooLong;
  }
  if (waiting_.size() >= limits_.max_waiting) {
    return submit_outcome::kDeclined;
  }
  Enqueue({.request = request, .arrival = next_arrival_++});
  return submit_outcome::kAccepted;
}

cancel_outcome batch_scheduler::Cancel(const generation_id& id) {
  const auto has_id = [&id](const stream& item) { return item.request.id == id; };
  if (std::erase_if(running_, has_id) > 0) {
    return cancel_outcome::kWasRunning;
  }
  const auto found = std::ranges::find_if(waiting_, has_id);
  if (found == waiting_.end()) {
    return cancel_outcome::kUnknown;
  }
  // A preempted stream is waiting, but has run.
  const bool has_run = found->preempted_at.has_value();
  waiting_.erase(found);
  return has_run ? cancel_outcome::kWasRunning : cancel_outcome::kWasWaiting;
}

void batch_scheduler::StartStep(time_point now) {
  while (!waiting_.empty() && (CanAdmit(waiting_.front()) || PreemptFor(waiting_.front(), now))) {
    stream admitted = std::move(waiting_.front());
    waiting_.erase(waiting_.begin());
    const std::uint64_t cached = std::min(admitted.request.cached_tokens,  //
                                          admitted.request.prompt_tokens);
    const auto computed = static_cast<std::int64_t>(admitted.KvTokens() - cached);
    admitted.ready_at = now + limits_.prefill_per_token * computed;
    running_.push_back(std::move(admitted));
  }
  Validate();
}

std::vector<produced_token> batch_scheduler::EndStep(time_point now) {
  PreemptForNextTokens(now);
  std::vector<produced_token> tokens;
  for (stream& item : running_) {
    if (item.ready_at > now) {
      continue;
    }
    if (item.preempted_at) {
      stall_ += now - *item.preempted_at;
      item.preempted_at.reset();
    }
    const std::uint32_t index = item.produced++;
    const bool complete = item.produced == item.request.output_tokens;
    const bool full = !complete && item.KvTokens() >= limits_.kv_tokens;
    tokens.push_back({item.request.id, index, complete || full, full});
  }
  std::erase_if(running_, [this](const stream& item) {
    return item.produced == item.request.output_tokens ||
           (item.produced > 0 && item.KvTokens() >= limits_.kv_tokens);
  });
  Validate();
  return tokens;
}

duration batch_scheduler::StepTime() const {
  return limits_.step + limits_.step_per_stream * static_cast<std::int64_t>(running_.size());
}

scheduler_state batch_scheduler::State() const {
  return {running_.size(), waiting_.size(), UsedKvTokens(), preemptions_, stall_};
}

void batch_scheduler::Validate() const {
  TARRAGON_INVARIANT(running_.size() <= limits_.slots, "the batch has more streams than slots");
  TARRAGON_INVARIANT(UsedKvTokens() <= limits_.kv_tokens, "KV cache use exceeds its capacity");
  TARRAGON_INVARIANT(std::ranges::is_sorted(waiting_, IsServedBefore),
                     "the waiting queue is not in the order of service");
}

bool batch_scheduler::IsServedBefore(const stream& a, const stream& b) {
  return std::pair(a.request.priority, a.arrival) < std::pair(b.request.priority, b.arrival);
}

bool batch_scheduler::CanAdmit(const stream& candidate) const {
  return running_.size() < limits_.slots &&
         UsedKvTokens() + candidate.KvTokens() + 1 <= limits_.kv_tokens;
}

// Preempts less urgent streams if that frees enough slots and KV cache. The waiting queue may then
// exceed its limit, which applies to new requests only.
bool batch_scheduler::PreemptFor(const stream& candidate, time_point now) {
  const int priority = candidate.request.priority;
  std::uint64_t kept_tokens = 0;
  std::size_t kept = 0;
  for (const stream& item : running_) {
    if (item.request.priority <= priority) {
      kept_tokens += item.KvTokens();
      ++kept;
    }
  }
  if (kept >= limits_.slots || kept_tokens + candidate.KvTokens() + 1 > limits_.kv_tokens) {
    return false;
  }
  // Preempt() changes the queue, which invalidates the reference to the candidate.
  const stream copy = candidate;
  while (!CanAdmit(copy)) {
    Preempt(FindLeastUrgentRunning(), now);
  }
  return true;
}

// Frees KV cache for the token that each stream of the batch is about to produce.
void batch_scheduler::PreemptForNextTokens(time_point now) {
  const auto is_ready = [now](const stream& item) { return item.ready_at <= now; };
  while (UsedKvTokens() + static_cast<std::uint64_t>(std::ranges::count_if(running_, is_ready)) >
         limits_.kv_tokens) {
    Preempt(FindLeastUrgentRunning(), now);
  }
}

void batch_scheduler::Preempt(std::size_t position, time_point now) {
  stream item = std::move(running_[position]);
  running_.erase(running_.begin() + static_cast<std::ptrdiff_t>(position));
  // A stream preempted again before its next token has stalled since the first preemption.
  item.preempted_at = item.preempted_at.value_or(now);
  ++preemptions_;
  Enqueue(std::move(item));
}

std::size_t batch_scheduler::FindLeastUrgentRunning() const {
  return static_cast<std::size_t>(std::ranges::max_element(running_, IsServedBefore) -
                                  running_.begin());
}

void batch_scheduler::Enqueue(stream&& item) {
  const auto position = std::ranges::upper_bound(waiting_, item, IsServedBefore);
  waiting_.insert(position, std::move(item));
}

std::uint64_t batch_scheduler::UsedKvTokens() const {
  return std::accumulate(
      running_.begin(), running_.end(), std::uint64_t{0},
      [](std::uint64_t sum, const stream& item) { return sum + item.KvTokens(); });
}

}  // namespace tarragon::fakes
