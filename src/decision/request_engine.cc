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

  void OnEvent(const request_arrived& event) { callers.OnEvent(event); }
  void OnEvent(const caller_disconnected& event) { callers.OnEvent(event); }
  void OnEvent(const resume_arrived& event) { callers.OnEvent(event); }
  void OnEvent(const claim_answered& event) { callers.OnEvent(event); }
  void OnEvent(const attempt_accepted& event);
  void OnEvent(const attempt_declined& event);
  void OnEvent(const token_received& event);
  void OnEvent(const response_received& event);
  void OnEvent(const attempt_finished& event);
  void OnEvent(const attempt_failed& event);
  void OnEvent(const cancel_observed& event);
  void OnEvent(const load_reported& event) { core.policies.OnLoadReport(core.now, event); }
  void OnEvent(const cache_changed& event) { core.policies.OnCacheChange(event); }
  void OnEvent(const document_changed& event);
  void OnEvent(const vm_list_changed& event) { core.endpoints.SetLeavingInList(event.leaving); }
  void OnEvent(const peer_state_received& event);
  void OnEvent(const peer_lost& event) { core.policies.OnPeerLost(event.vm); }
  void OnEvent(const tick&);
  void OnEvent(const drain_started&) { core.draining = true; }

  /**
   * An attempt and its request. Both are null if the attempt has ended; only `record` is null if
   * the request has finished.
   */
  struct target {
    attempt_record* attempt = nullptr;
    request_record* record = nullptr;
  };
  target FindTarget(attempt_id id);
  /** Removes an attempt whose request has finished. @return whether the event needs no handling. */
  bool RemoveIfRequestFinished(attempt_id id);
  /** Removes attempts of finished requests whose outcome did not arrive in time. */
  void RemoveExpiredAttempts();

  engine_core core;
  dispatcher queue;
  retry_handler retries;
  stream_handler streams;
  call_handler calls;
  caller_handler callers;
};

request_engine::state::target request_engine::state::FindTarget(attempt_id id) {
  attempt_record* attempt = core.attempts.Find(id);
  if (attempt == nullptr || attempt->phase == attempt_phase::kBackoff) {
    core.IncrementCounter("tarragon_events_ignored_total");
    return {};
  }
  request_record* record = core.Find(attempt->request);
  const bool open = record != nullptr && attempt->phase != attempt_phase::kCancelling &&
                    attempt->phase != attempt_phase::kOrphan;
  return {attempt, open ? record : nullptr};
}

bool request_engine::state::RemoveIfRequestFinished(attempt_id id) {
  const target found = FindTarget(id);
  if (found.attempt != nullptr && found.record == nullptr) {
    core.RemoveAttempt(id);
    return true;
  }
  return found.attempt == nullptr;
}

void request_engine::state::OnEvent(const attempt_accepted& event) {
  const auto [attempt, record] = FindTarget(event.attempt);
  if (record == nullptr) {
    return;
  }
  if (record->is_generation()) {
    streams.OnAccepted(*record, *attempt);
  } else {
    calls.OnAccepted(*record, *attempt);
  }
}

void request_engine::state::OnEvent(const attempt_declined& event) {
  if (RemoveIfRequestFinished(event.attempt)) {
    return;
  }
  const auto [attempt, record] = FindTarget(event.attempt);
  if (attempt->is_resume) {
    retries.Reconnect(*record, attempt->id, core.options.reconnect_interval);
    return;
  }
  if (attempt->was_accepted) {
    // The endpoint has accepted the attempt, so the decline cannot refer to it.
    core.IncrementCounter("tarragon_events_ignored_total");
    return;
  }
  core.endpoints.RecordConnected(attempt->endpoint);
  if (!event.permanent) {
    core.endpoints.BlockUntil(attempt->endpoint, core.now + event.retry_after);
    core.policies.OnDeclined(*attempt);
  }
  retries.OnAttemptEnded(
      *record, *attempt,
      event.permanent ? policy::attempt_end::kRefused : policy::attempt_end::kDeclined,
      run_verdict::kNotRun, event.message);
}

void request_engine::state::OnEvent(const token_received& event) {
  const auto [attempt, record] = FindTarget(event.attempt);
  if (record != nullptr && record->is_generation()) {
    streams.OnToken(*record, *attempt, event);
  }
}

void request_engine::state::OnEvent(const response_received& event) {
  const auto [attempt, record] = FindTarget(event.attempt);
  if (attempt == nullptr) {
    return;
  }
  if (record == nullptr) {
    calls.RecordClaimResult(*attempt, event);
    core.RemoveAttempt(event.attempt);
  } else if (!record->is_generation()) {
    calls.OnResponse(*record, *attempt, event);
  }
}

void request_engine::state::OnEvent(const attempt_finished& event) {
  if (RemoveIfRequestFinished(event.attempt)) {
    return;
  }
  const auto [attempt, record] = FindTarget(event.attempt);
  if (record->is_generation()) {
    streams.OnFinished(*record, *attempt, event);
  }
}

void request_engine::state::OnEvent(const attempt_failed& event) {
  if (RemoveIfRequestFinished(event.attempt)) {
    return;
  }
  const auto [attempt, record] = FindTarget(event.attempt);
  if (record->is_generation()) {
    streams.OnFailed(*record, *attempt, event);
  } else {
    calls.OnFailed(*record, *attempt, event);
  }
}

void request_engine::state::OnEvent(const cancel_observed& event) {
  const attempt_record* attempt = core.attempts.Find(event.attempt);
  if (attempt != nullptr && attempt->phase == attempt_phase::kCancelling) {
    core.RemoveAttempt(event.attempt);
  }
}

void request_engine::state::OnEvent(const document_changed& event) {
  if (core.document && event.document->version() < core.document->version()) {
    core.IncrementCounter("tarragon_events_ignored_total");
    return;
  }
  core.document = event.document;
  core.policies.ApplyDocument(*event.document);
}

void request_engine::state::OnEvent(const peer_state_received& event) {
  core.policies.OnPeerState(core.now, event);
  callers.OnAdoptedElsewhere(event.state.adopted);
}

void request_engine::state::OnEvent(const tick&) {
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
  RemoveExpiredAttempts();
}

void request_engine::state::RemoveExpiredAttempts() {
  for (const attempt_id id : core.attempts.SortedIds()) {
    const attempt_record& attempt = *core.attempts.Find(id);
    const bool request_finished =
        attempt.phase == attempt_phase::kCancelling || attempt.phase == attempt_phase::kOrphan;
    if (request_finished && core.now >= attempt.timer_due) {
      core.RemoveAttempt(id);
    }
  }
}

request_engine::request_engine(engine_options options, std::uint64_t seed, metrics& counters)
    : state_(std::make_unique<state>(std::move(options), seed, counters)) {}

request_engine::~request_engine() = default;

void request_engine::HandleEvent(time_point now, const event& input, std::vector<action>& actions) {
  state_->core.BeginEvent(now, actions);
  std::visit([this](const auto& alternative) { state_->OnEvent(alternative); }, input);
  // A token, the most frequent event, frees no capacity, so the queue is not run for it.
  if (!std::holds_alternative<token_received>(input)) {
    state_->queue.Dispatch();
  }
  state_->core.EndEvent();
}

peer_state request_engine::LocalState(time_point now) const {
  peer_state local;
  state_->core.policies.FillLocalState(now, local);
  local.adopted = state_->callers.AdoptedHashes(now);
  return local;
}

std::size_t request_engine::OpenRequestCount() const {
  return state_->core.requests.size();
}

void request_engine::Validate() const {
  state_->core.Validate();
  state_->queue.Validate();
}

}  // namespace tarragon::decision
