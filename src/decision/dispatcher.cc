#include "decision/dispatcher.h"

#include <algorithm>
#include <utility>

#include "tarragon/base/invariant.h"

namespace tarragon::decision {

namespace {

// Approximate size of a queued request's record, for the bound of the queue in bytes.
constexpr std::size_t kRecordBytes = 512;
// Cost of a prompt token relative to an output token; prefill processes prompt tokens in batches.
constexpr double kPromptTokenCost = 0.1;

}  // namespace

void dispatcher::Enqueue(request_record& record) {
  service_policies& service = core_.policies.ForService(record.properties.service);
  record.phase = request_phase::kQueued;
  if (!core_.options.fair_queue) {
    service.fifo_queue.push_back(record.properties.request);
    return;
  }
  policy::queued_request item;
  item.request = record.properties.request;
  item.request_class = record.class_settings.name;
  item.urgent = record.class_settings.urgent;
  item.class_weight = 1.0 / (1 + std::max(record.class_settings.priority, 0));
  item.account = record.account;
  item.weight = record.account_weight;
  item.cost = 1;
  if (record.is_generation()) {
    item.cost += core_.policies.PredictTokens(record, 0) +
                 kPromptTokenCost * record.properties.prompt_tokens;
    // While requests wait, slots go only to requests that can finish before their deadline. With an
    // empty queue the request is sent anyway, since its length is only an estimate.
    if (service.queue.Size() > 0) {
      item.service_time = core_.policies.MedianDuration(record, service);
    }
  } else {
    item.service_time =
        core_.policies.hedges.Delay(record.class_settings.name).value_or(duration::zero());
  }
  item.bytes = kRecordBytes + record.properties.idempotency_key.size();
  item.deadline = record.deadline;
  const policy::push_result result = service.queue.Push(core_.now, item);
  for (const request_id displaced : result.displaced) {
    RefuseQueued(core_.requests.at(displaced), finish_reason::kQueueFull, result.expected_wait);
  }
  if (result.outcome != policy::push_outcome::kQueued) {
    const bool full = result.outcome == policy::push_outcome::kFull;
    RefuseQueued(record, full ? finish_reason::kQueueFull : finish_reason::kDeadline,
                 result.expected_wait);
  }
}

void dispatcher::Requeue(request_record& record) {
  TARRAGON_INVARIANT(record.attempts.empty(), "queued request has an open attempt");
  record.phase = request_phase::kQueued;
  core_.policies.ForService(record.properties.service)
      .fifo_queue.push_back(record.properties.request);
}

void dispatcher::RefuseQueued(request_record& record, finish_reason reason, duration wait) {
  const auto after = std::chrono::ceil<std::chrono::milliseconds>(wait);
  core_.Finish(record, {.reason = reason,
                        .status = 503,
                        .message = reason == finish_reason::kQueueFull
                                       ? "too many requests are waiting"
                                       : "the request would not be served before its deadline",
                        .retry_after = std::clamp(after, core_.options.min_retry_after,
                                                  core_.options.max_retry_after)});
}

void dispatcher::Dispatch() {
  queued_ = 0;
  for (auto& [name, service] : core_.policies.services()) {
    DispatchFifo(service);
    DispatchQueue(service);
    queued_ += service.fifo_queue.size() + service.queue.Size();
  }
}

void dispatcher::DispatchFifo(service_policies& service) {
  std::deque<request_id> waiting;
  bool blocked = false;
  for (const request_id id : std::exchange(service.fifo_queue, {})) {
    request_record* record = core_.Find(id);
    if (record == nullptr || record->phase != request_phase::kQueued ||
        FinishIfRefusedOrExpired(*record)) {
      continue;
    }
    if (blocked || core_.now < record->not_before || !TrySend(*record)) {
      waiting.push_back(id);
      // Without the fair queue, a request that cannot be sent blocks the ones behind it.
      blocked = blocked || !core_.options.fair_queue;
    }
  }
  service.fifo_queue = std::move(waiting);
}

void dispatcher::DispatchQueue(service_policies& service) {
  for (const request_id id : service.queue.Expire(core_.now)) {
    if (request_record* record = core_.Find(id)) {
      RefuseQueued(*record, finish_reason::kDeadline, core_.options.min_retry_after);
    }
  }
  const endpoint_state* chosen = nullptr;
  const auto can_send = [&](const policy::queued_request& item) {
    request_record* record = core_.Find(item.request);
    TARRAGON_INVARIANT(record != nullptr, "finished request is queued");
    if (core_.policies.suspects.IsRefused(record->properties.request_fingerprint)) {
      // The request leaves the queue without an endpoint and is refused below.
      chosen = nullptr;
      return true;
    }
    chosen = core_.policies.Choose(core_.now, *record, core_.random);
    return chosen != nullptr;
  };
  while (const auto item = service.queue.Pop(core_.now, can_send)) {
    request_record& record = core_.requests.at(item->request);
    if (chosen == nullptr) {
      core_.Finish(record, core_.SuspectRefusal(record));
    } else {
      Send(record, *chosen);
    }
  }
}

bool dispatcher::FinishIfRefusedOrExpired(request_record& record) {
  if (core_.policies.suspects.IsRefused(record.properties.request_fingerprint)) {
    core_.Finish(record, core_.SuspectRefusal(record));
    return true;
  }
  if (core_.now < record.deadline) {
    return false;
  }
  const bool not_run = core_.CombinedVerdict(record) == run_verdict::kNotRun;
  core_.Finish(record, {.reason = finish_reason::kDeadline,
                        .status = not_run ? 503 : 504,
                        .message = "no endpoint was free before the deadline",
                        .retry_after = core_.options.min_retry_after});
  return true;
}

bool dispatcher::TrySend(request_record& record) {
  const endpoint_state* chosen = core_.policies.Choose(core_.now, record, core_.random);
  if (chosen == nullptr) {
    return false;
  }
  if (!RecheckLostGeneration(record)) {
    Send(record, *chosen);
  }
  return true;
}

bool dispatcher::RecheckLostGeneration(request_record& record) {
  // An endpoint whose connect failed during this event is still unreachable.
  const auto due = std::ranges::find_if(record.unreachable_generations, [&](const auto& lost) {
    return lost.last_connect_failure < core_.now && core_.endpoints.Find(lost.endpoint) != nullptr;
  });
  if (due == record.unreachable_generations.end()) {
    return false;
  }
  const unreachable_generation lost = *due;
  record.unreachable_generations.erase(due);
  record.phase = request_phase::kActive;
  record.stream_announced = lost.delivered_tokens > 0;
  record.restart_pending = record.restart_pending && lost.delivered_tokens == 0;
  core_.FollowGeneration(record, lost.generation, lost.delivered_tokens);
  attempt_record attempt;
  attempt.endpoint = lost.endpoint;
  attempt.generation = lost.generation;
  attempt.is_resume = true;
  attempt.is_recheck = true;
  attempt.was_accepted = true;
  const attempt_id id = core_.AddAttempt(record, std::move(attempt)).id;
  core_.IncrementCounter("tarragon_generations_rechecked_total");
  core_.Emit(resume_attempt{record.properties.request, id, lost.endpoint, lost.generation,
                            record.cursor.next_index()});
  return true;
}

void dispatcher::TryHedge(request_record& record) {
  attempt_record& first = *core_.attempts.Find(record.attempts.front());
  policy::hedge_context context;
  context.request_class = record.class_settings.name;
  context.repeatable = record.properties.repeatable;
  context.attempts_in_flight = static_cast<std::uint32_t>(record.attempts.size());
  context.elapsed = core_.now - first.sent_at;
  context.time_left = record.deadline - core_.now;
  const auto delay = core_.policies.hedges.Delay(record.class_settings.name);
  if (!delay || context.elapsed < *delay) {
    return;
  }
  // The retry budget is charged only once an endpoint is found, so that none of it is wasted.
  record.avoided_endpoints.push_back(first.endpoint);
  const endpoint_state* chosen = core_.policies.Choose(core_.now, record, core_.random);
  if (chosen != nullptr && chosen->name != first.endpoint &&
      core_.policies.hedges.ShouldHedge(
          context, core_.policies.ForService(record.properties.service).budget)) {
    core_.IncrementCounter("tarragon_hedges_total");
    Send(record, *chosen);
  }
  record.avoided_endpoints.pop_back();
}

void dispatcher::Send(request_record& record, const endpoint_state& endpoint) {
  record.phase = request_phase::kActive;
  if (++record.send_count == 1) {
    core_.policies.ForService(record.properties.service).budget.RecordRequest();
  }
  record.stream_announced = false;
  generation_id generation;
  if (record.is_generation()) {
    generation = core_.RandomHex();
    core_.FollowGeneration(record, generation, 0);
  }
  attempt_record attempt;
  attempt.endpoint = endpoint.name;
  attempt.generation = generation;
  const attempt_id id = core_.AddAttempt(record, std::move(attempt)).id;
  core_.Emit(send_attempt{record.properties.request, id, endpoint.name, std::move(generation),
                          core_.policies.ComputePriority(record)});
}

void dispatcher::Validate() const {
  for (const auto& [name, service] : core_.policies.services()) {
    for (const request_id id : service.fifo_queue) {
      const auto it = core_.requests.find(id);
      TARRAGON_INVARIANT(it == core_.requests.end() || it->second.phase == request_phase::kQueued,
                         "queued request has another phase");
    }
  }
}

}  // namespace tarragon::decision
