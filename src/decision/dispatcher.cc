#include "decision/dispatcher.h"

#include <algorithm>
#include <utility>

#include "tarragon/base/invariant.h"

namespace tarragon::decision {

namespace {

// Rough size of a waiting request's record, for the queue's bound in bytes.
constexpr std::size_t kRecordBytes = 512;
// Cost of a prompt token relative to an output token; prompts are processed in bulk.
constexpr double kPromptTokenCost = 0.1;

}  // namespace

void dispatcher::Enqueue(request_record& record) {
  service_policies& service = core_.policies.Of(record.facts.service);
  record.phase = request_phase::kQueued;
  if (!core_.options.fair_queue) {
    service.in_order.push_back(record.facts.request);
    return;
  }
  policy::queued_request item;
  item.request = record.facts.request;
  item.request_class = record.rule.name;
  item.urgent = record.rule.urgent;
  item.class_weight = 1.0 / (1 + std::max(record.rule.priority, 0));
  item.account = record.account;
  item.weight = record.account_weight;
  item.cost = 1;
  if (record.is_generation()) {
    item.cost +=
        core_.policies.PredictTokens(record, 0) + kPromptTokenCost * record.facts.prompt_tokens;
    // Places that others wait for go to work that can end in time. Without a queue the request is
    // tried, since its length is only a guess.
    if (service.queue.Size() > 0) {
      item.service_time = core_.policies.TypicalDuration(record, service);
    }
  } else {
    item.service_time = core_.policies.hedges.Delay(record.rule.name).value_or(duration::zero());
  }
  item.bytes = kRecordBytes + record.facts.idempotency_key.size();
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

void dispatcher::EnqueueAgain(request_record& record) {
  TARRAGON_INVARIANT(record.attempts.empty(), "queued request has an open attempt");
  record.phase = request_phase::kQueued;
  core_.policies.Of(record.facts.service).in_order.push_back(record.facts.request);
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

void dispatcher::Run() {
  queued_ = 0;
  for (auto& [name, service] : core_.policies.services()) {
    RunInOrder(service);
    RunQueue(service);
    queued_ += service.in_order.size() + service.queue.Size();
  }
}

void dispatcher::RunInOrder(service_policies& service) {
  std::deque<request_id> waiting;
  bool blocked = false;
  for (const request_id id : std::exchange(service.in_order, {})) {
    request_record* record = core_.Find(id);
    if (record == nullptr || record->phase != request_phase::kQueued || EndIfHopeless(*record)) {
      continue;
    }
    if (blocked || core_.now < record->not_before || !TrySend(*record)) {
      waiting.push_back(id);
      // The baseline queue is first in, first out.
      blocked = blocked || !core_.options.fair_queue;
    }
  }
  service.in_order = std::move(waiting);
}

void dispatcher::RunQueue(service_policies& service) {
  for (const request_id id : service.queue.Expire(core_.now)) {
    if (request_record* record = core_.Find(id)) {
      RefuseQueued(*record, finish_reason::kDeadline, core_.options.min_retry_after);
    }
  }
  const endpoint_state* chosen = nullptr;
  const auto can_send = [&](const policy::queued_request& item) {
    request_record* record = core_.Find(item.request);
    TARRAGON_INVARIANT(record != nullptr, "finished request is queued");
    if (core_.policies.suspects.IsRefused(record->facts.content)) {
      // Leaves the queue without an endpoint and is refused below.
      chosen = nullptr;
      return true;
    }
    chosen = core_.policies.Choose(core_.now, *record, core_.random);
    return chosen != nullptr;
  };
  while (const auto item = service.queue.Pop(core_.now, can_send)) {
    request_record& record = core_.requests.at(item->request);
    if (chosen == nullptr) {
      core_.Finish(record, core_.SuspectEnding(record));
    } else {
      Send(record, *chosen);
    }
  }
}

bool dispatcher::EndIfHopeless(request_record& record) {
  if (core_.policies.suspects.IsRefused(record.facts.content)) {
    core_.Finish(record, core_.SuspectEnding(record));
    return true;
  }
  if (core_.now < record.deadline) {
    return false;
  }
  const bool not_run = core_.VerdictOf(record) == run_verdict::kNotRun;
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
  if (!Recheck(record)) {
    Send(record, *chosen);
  }
  return true;
}

bool dispatcher::Recheck(request_record& record) {
  // A connect that failed at this moment shows that the endpoint is still away.
  const auto due = std::ranges::find_if(record.unreachable, [&](const auto& lost) {
    return lost.failed_at < core_.now && core_.endpoints.Find(lost.endpoint) != nullptr;
  });
  if (due == record.unreachable.end()) {
    return false;
  }
  const unreachable_generation lost = *due;
  record.unreachable.erase(due);
  record.phase = request_phase::kActive;
  record.announced = lost.delivered > 0;
  record.restart_pending = record.restart_pending && lost.delivered == 0;
  core_.Follow(record, lost.generation, lost.delivered);
  attempt_record attempt;
  attempt.endpoint = lost.endpoint;
  attempt.generation = lost.generation;
  attempt.is_resume = true;
  attempt.is_recheck = true;
  attempt.taken = true;
  const attempt_id id = core_.AddAttempt(record, std::move(attempt)).id;
  core_.Count("tarragon_generations_rechecked_total");
  core_.Emit(resume_attempt{record.facts.request, id, lost.endpoint, lost.generation,
                            record.cursor.next_index()});
  return true;
}

void dispatcher::TryHedge(request_record& record) {
  attempt_record& first = *core_.attempts.Find(record.attempts.front());
  policy::hedge_facts facts;
  facts.request_class = record.rule.name;
  facts.repeatable = record.facts.repeatable;
  facts.attempts_in_flight = static_cast<std::uint32_t>(record.attempts.size());
  facts.waited = core_.now - first.sent_at;
  facts.left = record.deadline - core_.now;
  const auto delay = core_.policies.hedges.Delay(record.rule.name);
  if (!delay || facts.waited < *delay) {
    return;
  }
  // The budget is only asked once an endpoint is found, so that no share of it is wasted.
  record.avoid.push_back(first.endpoint);
  const endpoint_state* chosen = core_.policies.Choose(core_.now, record, core_.random);
  if (chosen != nullptr && chosen->name != first.endpoint &&
      core_.policies.hedges.ShouldHedge(facts, core_.policies.Of(record.facts.service).budget)) {
    core_.Count("tarragon_hedges_total");
    Send(record, *chosen);
  }
  record.avoid.pop_back();
}

void dispatcher::Send(request_record& record, const endpoint_state& endpoint) {
  record.phase = request_phase::kActive;
  if (++record.sends == 1) {
    core_.policies.Of(record.facts.service).budget.RecordRequest();
  }
  record.announced = false;
  generation_id generation;
  if (record.is_generation()) {
    generation = core_.RandomHex();
    core_.Follow(record, generation, 0);
  }
  attempt_record attempt;
  attempt.endpoint = endpoint.name;
  attempt.generation = generation;
  const attempt_id id = core_.AddAttempt(record, std::move(attempt)).id;
  core_.Emit(send_attempt{record.facts.request, id, endpoint.name, std::move(generation),
                          core_.policies.PriorityOf(record)});
}

void dispatcher::Validate() const {
  for (const auto& [name, service] : core_.policies.services()) {
    for (const request_id id : service.in_order) {
      const auto place = core_.requests.find(id);
      TARRAGON_INVARIANT(
          place == core_.requests.end() || place->second.phase == request_phase::kQueued,
          "queued request has another phase");
    }
  }
}

}  // namespace tarragon::decision
