#include "tarragon/decision/request_engine.h"

#include <algorithm>
#include <utility>
#include <variant>

#include "decision/call_handler.h"
#include "decision/caller_handler.h"
#include "decision/dispatcher.h"
#include "decision/engine_core.h"
#include "decision/stream_handler.h"
#include "tarragon/base/hash.h"
#include "tarragon/base/invariant.h"

namespace tarragon::decision {

struct request_engine::state {
  state(const engine_options& options, std::uint64_t seed, metrics& counters)
      : core(options, seed, counters),
        queue(core),
        streams(core, queue),
        calls(core, queue),
        callers(core, queue, streams) {}

  void On(const request_arrived& event) { callers.On(event); }
  void On(const caller_gone& event) { callers.On(event); }
  void On(const resume_arrived& event) { callers.On(event); }
  void On(const claim_answered& event) { callers.On(event); }
  void On(const attempt_accepted& event);
  void On(const attempt_declined& event);
  void On(const token_received& event);
  void On(const response_received& event);
  void On(const attempt_finished& event);
  void On(const attempt_failed& event);
  void On(const cancel_observed& event);
  void On(const load_reported& event) { core.endpoints.Report(core.now, event); }
  void On(const cache_changed&) {}
  void On(const document_changed& event);
  void On(const vm_list_changed& event) { core.endpoints.SetLeavingInList(event.leaving); }
  void On(const peer_state_received& event) { callers.OnAdopted(event.state.adopted); }
  void On(const peer_lost&) {}
  void On(const tick&);
  void On(const drain_started&) { core.draining = true; }

  /** An attempt together with its request; both null if the event comes too late to matter. */
  struct target {
    attempt_record* attempt = nullptr;
    request_record* record = nullptr;
  };
  target Find(attempt_id id);
  bool EndLeftover(attempt_id id);
  void TickAttempts();

  engine_core core;
  dispatcher queue;
  stream_handler streams;
  call_handler calls;
  caller_handler callers;
};

request_engine::state::target request_engine::state::Find(attempt_id id) {
  attempt_record* attempt = core.attempts.Find(id);
  if (attempt == nullptr || attempt->phase == attempt_phase::kBackoff) {
    core.Count("tarragon_events_ignored_total");
    return {};
  }
  request_record* record = core.Find(attempt->request);
  const bool open = record != nullptr && attempt->phase != attempt_phase::kCancelling &&
                    attempt->phase != attempt_phase::kOrphan;
  return {attempt, open ? record : nullptr};
}

bool request_engine::state::EndLeftover(attempt_id id) {
  const target found = Find(id);
  if (found.attempt != nullptr && found.record == nullptr) {
    core.attempts.Remove(id);
    return true;
  }
  return found.attempt == nullptr;
}

void request_engine::state::On(const attempt_accepted& event) {
  const auto [attempt, record] = Find(event.attempt);
  if (record == nullptr) {
    return;
  }
  if (record->is_generation()) {
    streams.OnAccepted(*record, *attempt);
  } else {
    calls.OnAccepted(*record, *attempt);
  }
}

void request_engine::state::On(const attempt_declined& event) {
  if (EndLeftover(event.attempt)) {
    return;
  }
  const auto [attempt, record] = Find(event.attempt);
  if (attempt->is_resume) {
    streams.Reconnect(*record, attempt->id, false);
    return;
  }
  if (attempt->taken) {
    core.Count("tarragon_events_ignored_total");
    return;
  }
  core.endpoints.Reached(attempt->endpoint);
  record->avoid.push_back(attempt->endpoint);
  if (!event.permanent) {
    core.endpoints.Block(attempt->endpoint, core.now + event.retry_after);
  }
  core.EndAttempt(*record, attempt->id, run_verdict::kNotRun);
  if (!record->attempts.empty()) {
    return;
  }
  if (record->phase == request_phase::kDetached) {
    core.Finish(*record, {.reason = finish_reason::kCancelled, .status = 499});
  } else if (event.permanent) {
    core.Finish(
        *record,
        {.reason = finish_reason::kRefusedByEndpoint, .status = 422, .message = event.message});
  } else {
    queue.Enqueue(*record);
  }
}

void request_engine::state::On(const token_received& event) {
  const auto [attempt, record] = Find(event.attempt);
  if (record != nullptr && record->is_generation()) {
    streams.OnToken(*record, *attempt, event);
  }
}

void request_engine::state::On(const response_received& event) {
  const auto [attempt, record] = Find(event.attempt);
  if (attempt == nullptr) {
    return;
  }
  if (record == nullptr) {
    calls.OnLateResponse(*attempt, event);
    core.attempts.Remove(event.attempt);
  } else if (!record->is_generation()) {
    calls.OnResponse(*record, *attempt, event);
  }
}

void request_engine::state::On(const attempt_finished& event) {
  if (EndLeftover(event.attempt)) {
    return;
  }
  const auto [attempt, record] = Find(event.attempt);
  if (record->is_generation()) {
    streams.OnFinished(*record, *attempt, event);
  }
}

void request_engine::state::On(const attempt_failed& event) {
  if (EndLeftover(event.attempt)) {
    return;
  }
  const auto [attempt, record] = Find(event.attempt);
  if (record->is_generation()) {
    streams.OnFailed(*record, *attempt, event);
  } else {
    calls.OnFailed(*record, *attempt, event);
  }
}

void request_engine::state::On(const cancel_observed& event) {
  const attempt_record* attempt = core.attempts.Find(event.attempt);
  if (attempt != nullptr && attempt->phase == attempt_phase::kCancelling) {
    core.attempts.Remove(event.attempt);
  }
}

void request_engine::state::On(const document_changed& event) {
  if (core.document && event.document->version() < core.document->version()) {
    core.Count("tarragon_events_ignored_total");
    return;
  }
  core.document = event.document;
  core.endpoints.Apply(*event.document);
}

void request_engine::state::On(const tick&) {
  for (auto& [id, record] : core.requests) {
    callers.Tick(record);
    if (record.phase == request_phase::kFinished) {
      continue;
    }
    if (record.is_generation()) {
      streams.Tick(record);
    } else {
      calls.Tick(record);
    }
  }
  callers.Tick();
  TickAttempts();
}

void request_engine::state::TickAttempts() {
  for (const attempt_id id : core.attempts.SortedIds()) {
    const attempt_record& attempt = *core.attempts.Find(id);
    const bool leftover_phase =
        attempt.phase == attempt_phase::kCancelling || attempt.phase == attempt_phase::kOrphan;
    if (leftover_phase && core.now >= attempt.next_step) {
      core.attempts.Remove(id);
    }
  }
}

request_engine::request_engine(engine_options options, std::uint64_t seed, metrics& counters)
    : state_(std::make_unique<state>(options, seed, counters)) {}

request_engine::~request_engine() = default;

void request_engine::Handle(time_point now, const event& what, std::vector<action>& actions) {
  state_->core.Begin(now, actions);
  std::visit([this](const auto& one) { state_->On(one); }, what);
  // Tokens free no endpoint, so the queue is left alone for the most frequent event.
  if (!std::holds_alternative<token_received>(what)) {
    state_->queue.Run();
  }
  state_->core.End();
}

peer_state request_engine::LocalState(time_point now) const {
  peer_state local;
  for (const auto& [name, endpoint] : state_->core.endpoints.all()) {
    const std::uint32_t in_flight = state_->core.attempts.InFlight(name);
    if (in_flight > 0) {
      local.endpoints.push_back({static_cast<std::uint32_t>(Hash64(name)),
                                 static_cast<std::uint16_t>(std::min(in_flight, 65535U))});
    }
  }
  local.adopted = state_->callers.Adopted(now);
  return local;
}

std::size_t request_engine::OpenRequests() const {
  return state_->core.requests.size();
}

void request_engine::Validate() const {
  state_->core.Validate();
  state_->queue.Validate();
}

}  // namespace tarragon::decision
