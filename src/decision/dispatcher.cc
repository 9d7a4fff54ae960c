#include "decision/dispatcher.h"

#include <algorithm>
#include <set>
#include <utility>

#include "tarragon/base/invariant.h"

namespace tarragon::decision {

void dispatcher::Enqueue(request_record& record) {
  TARRAGON_INVARIANT(record.attempts.empty(), "queued request has an open attempt");
  record.phase = request_phase::kQueued;
  queue_.push_back(record.facts.request);
}

void dispatcher::Run() {
  std::set<std::string> full;
  std::deque<request_id> waiting;
  for (const request_id id : std::exchange(queue_, {})) {
    request_record* record = core_.Find(id);
    if (record == nullptr) {
      continue;
    }
    if (core_.now >= record->deadline) {
      core_.Finish(*record, {.reason = finish_reason::kDeadline,
                             .status = 503,
                             .message = "no endpoint was free before the deadline",
                             .retry_after = std::chrono::seconds(1)});
      continue;
    }
    std::optional<endpoint_name> endpoint;
    if (!full.contains(record->facts.service)) {
      endpoint = Choose(*record);
    }
    if (endpoint) {
      Send(*record, *endpoint);
    } else {
      full.insert(record->facts.service);
      waiting.push_back(id);
    }
  }
  std::ranges::copy(queue_, std::back_inserter(waiting));
  queue_ = std::move(waiting);
}

std::optional<endpoint_name> dispatcher::Choose(const request_record& record) {
  const auto& candidates = core_.endpoints.OfService(record.facts.service);
  for (std::size_t i = 0; i < candidates.size(); ++i) {
    const endpoint_state& endpoint = *candidates[(next_ + i) % candidates.size()];
    if (endpoint.leaving() || core_.now < endpoint.blocked_until) {
      continue;
    }
    next_ = (next_ + i + 1) % candidates.size();
    return endpoint.name;
  }
  return std::nullopt;
}

bool dispatcher::SendHedge(request_record& record) {
  (void)record;
  return false;
}

void dispatcher::Send(request_record& record, const endpoint_name& endpoint) {
  record.phase = request_phase::kActive;
  ++record.sends;
  record.announced = false;
  generation_id generation;
  if (record.is_generation()) {
    generation = core_.RandomHex();
    core_.Follow(record, generation, 0);
  }
  attempt_record attempt;
  attempt.endpoint = endpoint;
  attempt.generation = generation;
  const attempt_id id = core_.AddAttempt(record, std::move(attempt)).id;
  core_.Emit(send_attempt{record.facts.request, id, endpoint, generation, record.rule.priority});
}

void dispatcher::Validate() const {
  for (const request_id id : queue_) {
    const auto place = core_.requests.find(id);
    TARRAGON_INVARIANT(
        place == core_.requests.end() || place->second.phase == request_phase::kQueued,
        "queued request has another phase");
  }
}

}  // namespace tarragon::decision
