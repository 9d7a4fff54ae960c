#include "decision/stream_handler.h"

#include <algorithm>
#include <utility>

namespace tarragon::decision {

void stream_handler::OnAccepted(request_record& record, attempt_record& attempt) {
  if (attempt.phase == attempt_phase::kSent) {
    attempt.phase = attempt_phase::kAccepted;
    core_.endpoints.RecordConnected(attempt.endpoint);
  }
  attempt.was_accepted = true;
  attempt.is_recheck = false;
  attempt.last_activity = core_.now;
  record.accepted_once = true;
  record.last_progress = core_.now;
  if (record.phase == request_phase::kActive) {
    AnnounceGeneration(record, attempt);
  }
}

void stream_handler::AnnounceGeneration(request_record& record, const attempt_record& attempt) {
  if (std::exchange(record.stream_announced, true)) {
    return;
  }
  // The caller discards the tokens of other generations.
  std::ranges::for_each(record.unreachable_generations,
                        [](auto& lost) { lost.delivered_tokens = 0; });
  if (std::exchange(record.restart_pending, false)) {
    core_.Emit(restart_stream{record.properties.request, attempt.endpoint, attempt.generation});
  } else {
    core_.Emit(start_stream{record.properties.request, attempt.endpoint, attempt.generation});
  }
}

void stream_handler::OnToken(request_record& record,
                             attempt_record& attempt,
                             const token_received& event) {
  OnAccepted(record, attempt);
  if (!std::exchange(attempt.has_tokens, true)) {
    core_.policies.OnFirstAnswer(core_.now, record, attempt);
  }
  core_.policies.OnToken(core_.now, record, attempt);
  if (record.phase == request_phase::kDetached) {
    return;
  }
  switch (record.cursor.LocateToken(event.generation, event.index)) {
    case token_position::kNext:
      if (record.buffers_response()) {
        core_.buffered_bytes += event.text.size();
        record.cursor.Buffer(event.text);
      } else {
        record.cursor.MarkDelivered();
        core_.Emit(
            deliver_token{record.properties.request, event.generation, event.index, event.text});
      }
      break;
    case token_position::kGap:
      retries_.Reconnect(record, attempt.id, core_.options.gap_reread_delay);
      break;
    case token_position::kDuplicate:
    case token_position::kOtherGeneration:
      core_.IncrementCounter("tarragon_tokens_ignored_total");
      break;
  }
}

void stream_handler::OnFinished(request_record& record,
                                attempt_record& attempt,
                                const attempt_finished& event) {
  if (event.finish_reason == kCancelledFinishReason) {
    // Another entry cancelled the generation because it did not know that the caller resumed here.
    attempt.was_accepted = false;
    retries_.OnAttemptEnded(record, attempt, policy::attempt_end::kGenerationLost,
                            run_verdict::kRan);
    return;
  }
  OnAccepted(record, attempt);
  if (record.phase == request_phase::kDetached) {
    core_.EndAttempt(record, attempt.id, run_verdict::kRan);
    core_.Finish(record, {.reason = finish_reason::kCancelled,
                          .status = 499,
                          .message = "the caller disconnected; the generation has completed"});
    return;
  }
  if (event.token_count > record.cursor.next_index()) {
    retries_.Reconnect(record, attempt.id, core_.options.gap_reread_delay);
    return;
  }
  core_.policies.OnCompleted(core_.now, record, attempt);
  core_.EndAttempt(record, attempt.id, run_verdict::kRan);
  DeliverBuffered(record);
  core_.Finish(record, {.engine_reason = event.finish_reason});
}

void stream_handler::DeliverBuffered(request_record& record) {
  std::uint32_t index = record.cursor.first_buffered();
  core_.buffered_bytes -= record.cursor.buffered_bytes();
  for (std::string& text : record.cursor.TakeBuffered()) {
    core_.Emit(deliver_token{record.properties.request, record.cursor.generation(), index++,
                             std::move(text)});
  }
}

void stream_handler::OnFailed(request_record& record,
                              attempt_record& attempt,
                              const attempt_failed& event) {
  core_.policies.OnFailure(core_.now, record, attempt);
  // A failed resume does not show that the generation has ended; the endpoint may still run it.
  const bool may_have_run =
      attempt.is_resume || attempt.was_accepted || event.verdict != run_verdict::kNotRun;
  const run_verdict verdict = may_have_run ? attempt.verdict() : run_verdict::kNotRun;
  policy::attempt_end end = policy::attempt_end::kConnectionLost;
  switch (event.cause) {
    case failure_cause::kGenerationUnknown:
      core_.endpoints.RecordConnected(attempt.endpoint);
      if (MayHaveUnreadSend(attempt)) {
        retries_.Reconnect(record, attempt.id, core_.options.reconnect_interval);
        return;
      }
      end = policy::attempt_end::kGenerationLost;
      break;
    case failure_cause::kConnectFailed:
      core_.endpoints.RecordConnectFailure(core_.now, attempt.endpoint, core_.options.loss_timeout,
                                           core_.options.connect_backoff);
      end = policy::attempt_end::kConnectFailed;
      break;
    case failure_cause::kConnectionLost:
    case failure_cause::kSilent:
    case failure_cause::kBadAnswer:
      // After an invalid response the model engine may still run the generation, so the attempt is
      // handled as a lost connection and resumed first.
      break;
  }
  retries_.OnAttemptEnded(record, attempt, end, verdict);
}

bool stream_handler::MayHaveUnreadSend(attempt_record& attempt) const {
  if (attempt.was_accepted) {
    return false;
  }
  if (!attempt.unknown_since) {
    attempt.unknown_since = core_.now;
  }
  return core_.now - *attempt.unknown_since < core_.options.unread_send_timeout;
}

void stream_handler::ResumeGeneration(request_record& record, const endpoint_name& endpoint) {
  if (core_.endpoints.Find(endpoint) == nullptr) {
    // The address of the endpoint is unknown, so the generation is unreachable.
    retries_.OnUnreachableGeneration(record);
    return;
  }
  record.phase = request_phase::kActive;
  attempt_record attempt;
  attempt.endpoint = endpoint;
  attempt.generation = record.cursor.generation();
  attempt.is_resume = true;
  attempt.phase = attempt_phase::kBackoff;
  retries_.Resume(record, core_.AddAttempt(record, std::move(attempt)));
}

void stream_handler::Tick(request_record& record) {
  if (record.phase != request_phase::kActive) {
    return;
  }
  attempt_record& attempt = *core_.attempts.Find(record.attempts.front());
  if (attempt.phase == attempt_phase::kBackoff) {
    if (core_.now >= attempt.timer_due) {
      retries_.Resume(record, attempt);
    }
  } else if (core_.now - attempt.last_activity >= core_.options.attempt_silence_timeout) {
    retries_.OnAttemptEnded(record, attempt, policy::attempt_end::kConnectionLost,
                            attempt.verdict());
  }
}

}  // namespace tarragon::decision
