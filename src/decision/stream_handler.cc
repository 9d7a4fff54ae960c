#include "decision/stream_handler.h"

#include <algorithm>
#include <utility>

namespace tarragon::decision {

void stream_handler::OnAccepted(request_record& record, attempt_record& attempt) {
  core_.endpoints.Reached(attempt.endpoint);
  if (attempt.phase == attempt_phase::kSent) {
    attempt.phase = attempt_phase::kAccepted;
  }
  attempt.taken = true;
  attempt.last_token = core_.now;
  record.accepted_once = true;
  record.last_progress = core_.now;
  if (record.phase == request_phase::kActive) {
    Announce(record, attempt);
  }
}

void stream_handler::Announce(request_record& record, const attempt_record& attempt) {
  if (std::exchange(record.announced, true)) {
    return;
  }
  if (std::exchange(record.restart_pending, false)) {
    core_.Emit(restart_stream{record.facts.request, attempt.endpoint, attempt.generation});
  } else {
    core_.Emit(start_stream{record.facts.request, attempt.endpoint, attempt.generation});
  }
}

void stream_handler::OnToken(request_record& record,
                             attempt_record& attempt,
                             const token_received& event) {
  OnAccepted(record, attempt);
  attempt.has_tokens = true;
  if (record.phase == request_phase::kDetached) {
    return;
  }
  switch (record.cursor.Place(event.generation, event.index)) {
    case token_place::kNext:
      if (record.held()) {
        core_.held_bytes += event.text.size();
        record.cursor.Hold(event.text);
      } else {
        record.cursor.Deliver();
        core_.Emit(deliver_token{record.facts.request, event.generation, event.index, event.text});
      }
      break;
    case token_place::kGap:
      Reconnect(record, attempt.id, true);
      break;
    case token_place::kDuplicate:
    case token_place::kForeign:
      core_.Count("tarragon_tokens_ignored_total");
      break;
  }
}

void stream_handler::OnFinished(request_record& record,
                                attempt_record& attempt,
                                const attempt_finished& event) {
  if (event.finish_reason == kCancelledFinishReason) {
    // Another entry cancelled it without knowing that the caller came back here.
    OnLost(record, attempt, false);
    return;
  }
  OnAccepted(record, attempt);
  if (record.phase == request_phase::kDetached) {
    core_.EndAttempt(record, attempt.id, run_verdict::kRan);
    core_.Finish(record, {.reason = finish_reason::kCancelled,
                          .status = 499,
                          .message = "the caller is gone; the generation is whole"});
    return;
  }
  if (event.token_count > record.cursor.next_index()) {
    Reconnect(record, attempt.id, true);
    return;
  }
  core_.EndAttempt(record, attempt.id, run_verdict::kRan);
  DeliverHeld(record);
  core_.Finish(record, {.engine_reason = event.finish_reason});
}

void stream_handler::DeliverHeld(request_record& record) {
  std::uint32_t index = record.cursor.first_held();
  core_.held_bytes -= record.cursor.held_bytes();
  for (std::string& text : record.cursor.TakeHeld()) {
    core_.Emit(
        deliver_token{record.facts.request, record.cursor.generation(), index++, std::move(text)});
  }
}

void stream_handler::OnFailed(request_record& record,
                              attempt_record& attempt,
                              const attempt_failed& event) {
  switch (event.cause) {
    case failure_cause::kGenerationUnknown:
      core_.endpoints.Reached(attempt.endpoint);
      OnLost(record, attempt, attempt.taken);
      return;
    case failure_cause::kConnectFailed:
      core_.endpoints.ConnectFailed(core_.now, attempt.endpoint, core_.options.loss_timeout,
                                    core_.options.connect_backoff);
      break;
    case failure_cause::kConnectionLost:
    case failure_cause::kSilent:
    case failure_cause::kBadAnswer:
      break;
  }
  if (event.verdict == run_verdict::kNotRun && !attempt.is_resume && !attempt.taken) {
    record.avoid.push_back(attempt.endpoint);
    core_.EndAttempt(record, attempt.id, run_verdict::kNotRun);
    if (record.phase == request_phase::kDetached) {
      core_.Finish(record, {.reason = finish_reason::kCancelled, .status = 499});
    } else {
      queue_.Enqueue(record);
    }
    return;
  }
  if (event.cause == failure_cause::kConnectFailed) {
    OnConnectFailed(record, attempt);
  } else {
    Reconnect(record, attempt.id, true);
  }
}

void stream_handler::OnConnectFailed(request_record& record, attempt_record& attempt) {
  if (core_.endpoints.IsLost(core_.now, attempt.endpoint, core_.options.loss_timeout)) {
    OnLost(record, attempt, true);
  } else {
    Reconnect(record, attempt.id, false);
  }
}

void stream_handler::OnLost(request_record& record, attempt_record& attempt, bool endpoint_died) {
  (void)endpoint_died;
  core_.Count("tarragon_generations_lost_total");
  record.avoid.assign(1, attempt.endpoint);
  core_.EndAttempt(record, attempt.id, attempt.verdict());
  if (record.phase == request_phase::kDetached) {
    core_.Finish(record, {.reason = finish_reason::kCancelled, .status = 499});
    return;
  }
  const bool visible = record.cursor.visible();
  if (visible && record.rule.on_loss == document::loss_policy::kEnd) {
    core_.Finish(record, {.reason = finish_reason::kLost,
                          .status = 502,
                          .message = "the endpoint lost the generation"});
    return;
  }
  record.restart_pending = record.restart_pending || visible;
  core_.Follow(record, {}, 0);
  record.deadline = std::max(record.deadline, core_.now + core_.options.recovery_timeout);
  queue_.Enqueue(record);
}

void stream_handler::Attach(request_record& record, const endpoint_name& endpoint) {
  record.phase = request_phase::kActive;
  attempt_record attempt;
  attempt.endpoint = endpoint;
  attempt.generation = record.cursor.generation();
  attempt.is_resume = true;
  attempt.phase = attempt_phase::kBackoff;
  attempt_record& added = core_.AddAttempt(record, std::move(attempt));
  if (core_.endpoints.Find(endpoint) == nullptr) {
    // Its address is not known, so the generation cannot be reached.
    OnLost(record, added, false);
    return;
  }
  Resume(record, added);
}

void stream_handler::Reconnect(request_record& record, attempt_id id, bool at_once) {
  const attempt_record old = *core_.attempts.Find(id);
  const time_point limit =
      std::max(record.deadline, record.last_progress + core_.options.recovery_timeout);
  if (core_.now >= limit && record.phase != request_phase::kDetached) {
    core_.Finish(record, {.reason = finish_reason::kLost,
                          .status = 504,
                          .message = "the endpoint stopped answering"});
    return;
  }
  core_.Emit(close_attempt{id});
  core_.EndAttempt(record, id, run_verdict::kMayHaveRun);
  attempt_record next;
  next.endpoint = old.endpoint;
  next.generation = old.generation;
  next.is_resume = true;
  next.taken = old.taken;
  next.has_tokens = old.has_tokens;
  next.suspect = old.suspect;
  next.phase = attempt_phase::kBackoff;
  const bool soon = old.is_resume && core_.now - old.sent_at < core_.options.reconnect_interval;
  next.next_step = at_once && !soon ? core_.now : core_.now + core_.options.reconnect_interval;
  attempt_record& added = core_.AddAttempt(record, std::move(next));
  if (added.next_step <= core_.now && record.phase == request_phase::kActive) {
    Resume(record, added);
  }
}

void stream_handler::Resume(request_record& record, attempt_record& attempt) {
  attempt.phase = attempt_phase::kSent;
  attempt.sent_at = core_.now;
  attempt.last_token = core_.now;
  core_.Emit(resume_attempt{record.facts.request, attempt.id, attempt.endpoint, attempt.generation,
                            record.cursor.next_index()});
}

void stream_handler::Tick(request_record& record) {
  if (record.phase != request_phase::kActive) {
    return;
  }
  attempt_record& attempt = *core_.attempts.Find(record.attempts.front());
  if (attempt.phase == attempt_phase::kBackoff) {
    if (core_.now >= attempt.next_step) {
      Resume(record, attempt);
    }
  } else if (core_.now - attempt.last_token >= core_.options.attempt_watchdog) {
    Reconnect(record, attempt.id, true);
  }
}

}  // namespace tarragon::decision
