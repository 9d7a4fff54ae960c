#include "tarragon/decision/request_engine.h"

#include <algorithm>
#include <utility>
#include <variant>

#include "decision/call_handler.h"
#include "decision/caller_handler.h"
#include "decision/dispatcher.h"
#include "decision/engine_core.h"
#include "decision/retry_handler.h"
#include "decision/stream_handler.h"
#include "tarragon/base/hash.h"
#include "tarragon/base/invariant.h"

namespace tarragon::decision {

struct request_engine::state {
  state(engine_options options, std::uint64_t seed, metrics& counters)
      : core(std::move(options), seed, counters),
        queue(core),
        retries(core, queue),
        streams(core, retries),
        calls(core, queue, retries),
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
  void On(const load_reported& event) { core.policies.OnLoad(core.now, event); }
  void On(const cache_changed& event) { core.policies.OnCache(event); }
  void On(const document_changed& event);
  void On(const vm_list_changed& event) { core.endpoints.SetLeavingInList(event.leaving); }
  void On(const peer_state_received& event);
  void On(const peer_lost& event) { core.policies.OnPeerLost(event.vm); }
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
  retry_handler retries;
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
    core.RemoveAttempt(id);
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
    retries.Reconnect(*record, attempt->id, core.options.reconnect_interval);
    return;
  }
  if (attempt->taken) {
    // It was accepted before, so the decline belongs to something else.
    core.Count("tarragon_events_ignored_total");
    return;
  }
  core.endpoints.Reached(attempt->endpoint);
  if (!event.permanent) {
    core.endpoints.Block(attempt->endpoint, core.now + event.retry_after);
    core.policies.OnDeclined(*attempt);
  }
  retries.OnEnded(*record, *attempt,
                  event.permanent ? policy::attempt_end::kRefused : policy::attempt_end::kDeclined,
                  run_verdict::kNotRun, event.message);
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
    core.RemoveAttempt(event.attempt);
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
    core.RemoveAttempt(event.attempt);
  }
}

void request_engine::state::On(const document_changed& event) {
  if (core.document && event.document->version() < core.document->version()) {
    core.Count("tarragon_events_ignored_total");
    return;
  }
  core.document = event.document;
  core.policies.ApplyDocument(*event.document);
}

void request_engine::state::On(const peer_state_received& event) {
  core.policies.OnPeer(core.now, event);
  callers.OnAdopted(event.state.adopted);
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
  core.policies.Tick(core.now);
  core.counters.Gauge("tarragon_attempts_open")
      .Set(static_cast<std::int64_t>(core.attempts.size()));
  core.counters.Gauge("tarragon_requests_waiting").Set(static_cast<std::int64_t>(queue.size()));
  TickAttempts();
}

void request_engine::state::TickAttempts() {
  for (const attempt_id id : core.attempts.SortedIds()) {
    const attempt_record& attempt = *core.attempts.Find(id);
    const bool leftover_phase =
        attempt.phase == attempt_phase::kCancelling || attempt.phase == attempt_phase::kOrphan;
    if (leftover_phase && core.now >= attempt.next_step) {
      core.RemoveAttempt(id);
    }
  }
}

request_engine::request_engine(engine_options options, std::uint64_t seed, metrics& counters)
    : state_(std::make_unique<state>(std::move(options), seed, counters)) {}

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
  state_->core.policies.FillLocalState(now, local);
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
