#include "decision/engine_core.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>
#include <variant>

#include "tarragon/base/hash.h"
#include "tarragon/base/invariant.h"
#include "tarragon/base/metric_names.h"
#include "tarragon/decision/request_outcome.h"

namespace tarragon::decision {

engine_core::engine_core(engine_options engine_settings, std::uint64_t seed, metrics& registry)
    : options(std::move(engine_settings)),
      counters(registry),
      random(seed),
      policies(options, endpoints, attempts) {}

void engine_core::BeginEvent(time_point time, std::vector<action>& actions) {
  TARRAGON_INVARIANT(time >= now, "time went backwards");
  now = time;
  actions_ = &actions;
}

void engine_core::EndEvent() {
  for (const request_id id : finished_) {
    requests.erase(id);
  }
  finished_.clear();
  actions_ = nullptr;
}

void engine_core::Emit(action emitted) {
  if (const auto* send = std::get_if<send_attempt>(&emitted)) {
    CheckSend(*send);
  }
  checker_.Check(emitted);
  actions_->push_back(std::move(emitted));
}

request_record& engine_core::OpenRequest(const request_properties& properties) {
  const auto [it, inserted] = requests.try_emplace(properties.request);
  TARRAGON_INVARIANT(inserted, "request listed twice");
  request_record& record = it->second;
  record.properties = properties;
  record.arrived = now;
  record.last_progress = now;
  record.deadline = properties.deadline;
  record.account = {Hash64(properties.account)};
  checker_.Open(properties.request);
  return record;
}

request_record& engine_core::OpenResumedRequest(const resume_arrived& event) {
  request_record& record = OpenRequest(event.properties);
  checker_.SetResumed(event.properties.request, event.generation, event.next_index);
  return record;
}

request_record* engine_core::Find(request_id id) {
  const auto it = requests.find(id);
  return it == requests.end() || it->second.phase == request_phase::kFinished ? nullptr
                                                                              : &it->second;
}

void engine_core::Finish(request_record& record, finish_details details) {
  TARRAGON_INVARIANT(record.phase != request_phase::kFinished, "request finished twice");
  const request_id id = record.properties.request;
  run_verdict verdict = CombinedVerdict(record);
  if (details.reason == finish_reason::kClaimHeld) {
    // The verdict reports on the call that holds the key, and that call may have run.
    verdict = run_verdict::kMayHaveRun;
  }
  for (const attempt_id attempt : std::exchange(record.attempts, {})) {
    DisposeAttempt(attempt, details.attempts);
  }
  if (!record.claim_token.empty() && !claims.Contains(id) && verdict == run_verdict::kNotRun) {
    Emit(release_claim{record.properties.account, record.properties.idempotency_key,
                       record.claim_token});
  }
  if (record.phase == request_phase::kQueued) {
    policies.ForService(record.properties.service).queue.Remove(id);
  }
  buffered_bytes -= record.cursor.buffered_bytes();
  const auto reader = readers.find(record.cursor.generation());
  if (reader != readers.end() && reader->second == id) {
    readers.erase(reader);
  }
  counters
      .Counter("tarragon_requests_finished_total",
               fmt::format("verdict=\"{}\",status=\"{}\"", ToString(verdict), details.status))
      .Add();
  const bool in_time = now <= record.properties.deadline;
  counters
      .Counter(kOutcomesMetric, OutcomeLabels(record.class_settings.name,
                                              ClassifyOutcome(details.reason, verdict, in_time)))
      .Add();
  Emit(finish_request{id, verdict, details.reason, details.status, std::move(details.engine_reason),
                      std::move(details.message), details.retry_after});
  record.phase = request_phase::kFinished;
  finished_.push_back(id);
}

attempt_record& engine_core::AddAttempt(request_record& record, attempt_record attempt) {
  attempt.id = attempts.NextId();
  attempt.request = record.properties.request;
  attempt.request_fingerprint = record.properties.request_fingerprint;
  const endpoint_state* endpoint = endpoints.Find(attempt.endpoint);
  TARRAGON_INVARIANT(endpoint != nullptr, "attempt at an endpoint that is not listed");
  attempt.index = endpoint->index;
  attempt.last_activity = now;
  attempt.sent_at = now;
  attempt.window_start = now;
  if (!record.properties.repeatable) {
    attempt.claim_account = record.properties.account;
    attempt.claim_key = record.properties.idempotency_key;
    attempt.claim_token = record.claim_token;
  }
  record.attempts.push_back(attempt.id);
  policies.OnAttemptAdded(now, record, attempt);
  return attempts.Add(std::move(attempt));
}

void engine_core::EndAttempt(request_record& record, attempt_id attempt, run_verdict verdict) {
  record.past_verdict = Combine(record.past_verdict, verdict);
  std::erase(record.attempts, attempt);
  RemoveAttempt(attempt);
}

void engine_core::RemoveAttempt(attempt_id attempt) {
  policies.OnAttemptRemoved(now, *attempts.Find(attempt));
  attempts.Remove(attempt);
}

finish_details engine_core::SuspectRefusal(const request_record& record) const {
  const duration refused =
      policies.suspects.RemainingRefusalTime(now, record.properties.request_fingerprint);
  return {.reason = finish_reason::kSuspectRefused,
          .status = 422,
          .message = "the request was in flight at several endpoints when they crashed",
          .retry_after = std::chrono::ceil<std::chrono::milliseconds>(refused)};
}

void engine_core::CancelAttempt(attempt_record& attempt) {
  Emit(cancel_attempt{attempt.id, attempt.endpoint, attempt.generation});
  attempt.phase = attempt_phase::kCancelling;
  attempt.timer_due = now + options.cancel_timeout;
}

void engine_core::FollowGeneration(request_record& record,
                                   generation_id generation,
                                   std::uint32_t next_index) {
  const auto reader = readers.find(record.cursor.generation());
  if (reader != readers.end() && reader->second == record.properties.request) {
    readers.erase(reader);
  }
  if (!generation.empty()) {
    readers[generation] = record.properties.request;
  }
  buffered_bytes -= record.cursor.buffered_bytes();
  record.max_tokens_produced = std::max(record.max_tokens_produced, record.cursor.next_index());
  record.cursor.Attach(std::move(generation), next_index);
}

std::string engine_core::RandomHex() {
  const std::uint64_t high = random();
  return fmt::format("{:016x}{:016x}", high, random());
}

run_verdict engine_core::CombinedVerdict(const request_record& record) const {
  run_verdict verdict = record.past_verdict;
  for (const attempt_id id : record.attempts) {
    verdict = Combine(verdict, attempts.Find(id)->verdict());
  }
  return verdict;
}

void engine_core::DisposeAttempt(attempt_id id, attempt_disposition disposition) {
  attempt_record& attempt = *attempts.Find(id);
  switch (disposition) {
    case attempt_disposition::kCancel:
      CancelAttempt(attempt);
      break;
    case attempt_disposition::kClose:
      Emit(close_attempt{id});
      RemoveAttempt(id);
      break;
    case attempt_disposition::kOrphan:
      attempt.phase = attempt_phase::kOrphan;
      attempt.timer_due = now + options.recovery_timeout;
      break;
  }
}

void engine_core::CheckSend(const send_attempt& send) const {
  const endpoint_state* endpoint = endpoints.Find(send.endpoint);
  TARRAGON_INVARIANT(endpoint != nullptr && !endpoint->is_leaving(),
                     "new work sent to a leaving endpoint");
  const request_record& record = requests.at(send.request);
  if (!record.properties.repeatable) {
    TARRAGON_INVARIANT(record.past_verdict == run_verdict::kNotRun && record.attempts.size() == 1,
                       "unrepeatable call that may have run is sent again");
    TARRAGON_INVARIANT(!record.claim_token.empty() && !claims.Contains(send.request),
                       "unrepeatable call sent without a claim");
  }
  if (record.is_generation()) {
    TARRAGON_INVARIANT(record.attempts.size() == 1, "generation request has two open attempts");
  }
  if (options.isolate_suspects) {
    TARRAGON_INVARIANT(attempts.CountsAt(endpoint->index).suspects <= 1,
                       "two crash suspects at one endpoint");
  }
}

void engine_core::Validate() const {
  attempts.Validate();
  policies.Validate();
  std::size_t buffered = 0;
  std::size_t open = 0;
  std::size_t listed = 0;
  for (const auto& [id, record] : requests) {
    TARRAGON_INVARIANT(id == record.properties.request, "request listed under another id");
    TARRAGON_INVARIANT(record.phase != request_phase::kFinished, "finished request is listed");
    TARRAGON_INVARIANT(checker_.IsOpen(id), "open request is missing in the answer checker");
    const bool waits =
        record.phase == request_phase::kQueued || record.phase == request_phase::kClaiming;
    TARRAGON_INVARIANT(waits == record.attempts.empty(),
                       "phase of a request does not match its attempts");
    TARRAGON_INVARIANT((record.phase == request_phase::kClaiming) == claims.Contains(id) ||
                           record.phase != request_phase::kClaiming,
                       "request waits for a claim that was not requested");
    for (const attempt_id attempt : record.attempts) {
      const attempt_record* found = attempts.Find(attempt);
      TARRAGON_INVARIANT(found != nullptr && found->request == id, "attempt of another request");
      TARRAGON_INVARIANT(found->phase != attempt_phase::kOrphan, "orphan of an open request");
      ++listed;
    }
    record.cursor.Validate();
    buffered += record.cursor.buffered_bytes();
    ++open;
  }
  TARRAGON_INVARIANT(open == checker_.size(), "answer checker lists a request that is not open");
  TARRAGON_INVARIANT(buffered == buffered_bytes,
                     "buffered bytes differ from the sum over requests");
  TARRAGON_INVARIANT(open <= options.max_open + 1, "more requests open than allowed");
  TARRAGON_INVARIANT(listed <= attempts.size(), "requests list attempts that do not exist");
}

}  // namespace tarragon::decision
