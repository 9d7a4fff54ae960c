#include "decision/caller_handler.h"

#include <algorithm>
#include <utility>

#include "tarragon/base/hash.h"
#include "tarragon/decision/gossip_limits.h"

namespace tarragon::decision {

namespace {

// A claim without an answer for this long is dropped, as its answer counts as lost.
constexpr std::chrono::minutes kClaimAnswerTimeout{10};

}  // namespace

void caller_handler::OnEvent(const request_arrived& event) {
  if (core_.Find(event.properties.request) != nullptr) {
    core_.IncrementCounter("tarragon_events_ignored_total");
    return;
  }
  request_record& record = core_.OpenRequest(event.properties);
  if (!ApplyDocumentSettings(record)) {
    return;
  }
  if (core_.draining) {
    core_.Finish(record, {.reason = finish_reason::kDraining,
                          .status = 503,
                          .message = "the entry is shutting down",
                          .retry_after = std::chrono::seconds(1)});
    return;
  }
  if (core_.requests.size() > core_.options.max_open ||
      (record.buffers_response() && core_.buffered_bytes >= core_.options.max_buffered_bytes)) {
    core_.Finish(record, {.reason = finish_reason::kQueueFull,
                          .status = 503,
                          .message = "too many requests are waiting",
                          .retry_after = std::chrono::seconds(1)});
    return;
  }
  if (RefuseIfSuspectOrOverRate(record)) {
    return;
  }
  if (record.properties.repeatable) {
    queue_.Enqueue(record);
  } else {
    RequestClaim(record);
  }
}

bool caller_handler::ApplyDocumentSettings(request_record& record) {
  if (!core_.document) {
    core_.Finish(record, {.reason = finish_reason::kNoEndpoint,
                          .status = 503,
                          .message = "the entry has no operating document yet",
                          .retry_after = std::chrono::seconds(1)});
    return false;
  }
  const auto* service = core_.document->FindService(record.properties.service);
  if (service == nullptr) {
    core_.Finish(record,
                 {.reason = finish_reason::kInvalid, .status = 404, .message = "no such service"});
    return false;
  }
  const auto* class_settings = core_.document->FindClass(record.properties.request_class);
  if (class_settings == nullptr) {
    class_settings = core_.document->FindClass(service->default_class);
  }
  if (class_settings != nullptr) {
    record.class_settings = *class_settings;
  }
  if (const auto* account = core_.document->FindAccount(record.properties.account)) {
    record.account_weight = account->weight;
  }
  if (!record.properties.repeatable && record.properties.idempotency_key.empty()) {
    core_.Finish(record, {.reason = finish_reason::kInvalid,
                          .status = 400,
                          .message = "the call requires an Idempotency-Key header"});
    return false;
  }
  return true;
}

bool caller_handler::RefuseIfSuspectOrOverRate(request_record& record) {
  if (core_.policies.suspects.IsRefused(record.properties.request_fingerprint)) {
    core_.Finish(record, core_.SuspectRefusal(record));
    return true;
  }
  if (!core_.options.limit_accounts) {
    return false;
  }
  const auto answer = core_.policies.accounts.Admit(core_.now, record.account);
  if (!answer.admitted) {
    core_.Finish(record, {.reason = finish_reason::kOverRateLimit,
                          .status = 429,
                          .message = "the account has exceeded its request rate",
                          .retry_after = std::max(
                              std::chrono::ceil<std::chrono::milliseconds>(answer.retry_after),
                              core_.options.min_retry_after)});
  }
  return !answer.admitted;
}

void caller_handler::RequestClaim(request_record& record) {
  record.phase = request_phase::kClaiming;
  record.claim_token = core_.RandomHex();
  core_.claims.Add(record.properties.request,
                   {record.properties.account, record.properties.idempotency_key,
                    record.claim_token, core_.now});
  core_.Emit(write_claim{record.properties.request, record.properties.account,
                         record.properties.idempotency_key, record.claim_token,
                         record.properties.request_fingerprint});
}

void caller_handler::OnEvent(const claim_answered& event) {
  const auto claim = core_.claims.Take(event.request);
  if (!claim) {
    core_.IncrementCounter("tarragon_events_ignored_total");
    return;
  }
  request_record* record = core_.Find(event.request);
  if (record == nullptr) {
    if (event.state == claim_state::kWon || event.state == claim_state::kUnknown) {
      core_.Emit(release_claim{claim->account, claim->key, claim->claim_token});
    }
    return;
  }
  switch (event.state) {
    case claim_state::kWon:
      queue_.Enqueue(*record);
      break;
    case claim_state::kHeldByOther:
      record->claim_token.clear();
      core_.Finish(*record,
                   {.reason = finish_reason::kClaimHeld,
                    .status = 409,
                    .message = "another call with this idempotency key has not completed"});
      break;
    case claim_state::kCompleted:
      ReplayRecordedResponse(*record, event);
      break;
    case claim_state::kUnavailable:
      record->claim_token.clear();
      [[fallthrough]];
    case claim_state::kUnknown:
      core_.Finish(*record, {.reason = finish_reason::kClaimUnavailable,
                             .status = 503,
                             .message = "the claim table is unavailable",
                             .retry_after = std::chrono::seconds(1)});
      break;
  }
}

void caller_handler::ReplayRecordedResponse(request_record& record, const claim_answered& event) {
  record.claim_token.clear();
  record.past_verdict = run_verdict::kRan;
  core_.Emit(deliver_response{record.properties.request, event.recorded_status, "application/json",
                              event.recorded_body});
  core_.Finish(record, {.status = event.recorded_status});
}

void caller_handler::OnEvent(const caller_disconnected& event) {
  request_record* record = core_.Find(event.request);
  if (record == nullptr || record->phase == request_phase::kDetached) {
    core_.IncrementCounter("tarragon_events_ignored_total");
    return;
  }
  const bool active = record->phase == request_phase::kActive;
  if (record->is_generation() && active) {
    record->phase = request_phase::kDetached;
    record->disconnected_at = core_.now;
    return;
  }
  if (active && !record->properties.repeatable) {
    return;
  }
  core_.Finish(
      *record,
      {.reason = finish_reason::kCancelled, .status = 499, .message = "the caller disconnected"});
}

void caller_handler::OnEvent(const resume_arrived& event) {
  if (core_.Find(event.properties.request) != nullptr) {
    core_.IncrementCounter("tarragon_events_ignored_total");
    return;
  }
  FinishEarlierReader(event);
  request_record& record = core_.OpenResumedRequest(event);
  // The entry that issued the ticket has sent the generation, so it may have run even if this entry
  // refuses the resume.
  record.past_verdict = run_verdict::kMayHaveRun;
  record.accepted_once = true;
  if (!ApplyDocumentSettings(record)) {
    return;
  }
  if (core_.requests.size() > core_.options.max_open) {
    core_.Finish(record, {.reason = finish_reason::kQueueFull,
                          .status = 503,
                          .message = "too many requests are open",
                          .retry_after = std::chrono::seconds(1)});
    return;
  }
  adopted_[event.generation] = core_.now;
  core_.FollowGeneration(record, event.generation, event.next_index);
  streams_.ResumeGeneration(record, event.endpoint);
}

void caller_handler::FinishEarlierReader(const resume_arrived& event) {
  const auto reader = core_.readers.find(event.generation);
  if (reader == core_.readers.end()) {
    return;
  }
  request_record* earlier = core_.Find(reader->second);
  if (earlier != nullptr) {
    core_.Finish(*earlier, {.reason = finish_reason::kCancelled,
                            .status = 499,
                            .message = "the caller resumed on another connection",
                            .attempts = attempt_disposition::kClose});
  }
}

void caller_handler::Tick(request_record& record) {
  if (record.phase == request_phase::kDetached &&
      core_.now - record.disconnected_at >= core_.options.return_window) {
    core_.Finish(record, {.reason = finish_reason::kCancelled,
                          .status = 499,
                          .message = "the caller did not reconnect in time"});
  } else if (record.phase == request_phase::kClaiming && core_.now >= record.deadline) {
    core_.Finish(record, {.reason = finish_reason::kClaimUnavailable,
                          .status = 503,
                          .message = "the claim table did not answer before the deadline",
                          .retry_after = std::chrono::seconds(1)});
  }
}

void caller_handler::Tick() {
  core_.claims.DropOlderThan(core_.now - kClaimAnswerTimeout);
  std::erase_if(adopted_, [this](const auto& item) {
    return core_.now - item.second >= core_.options.adoption_announcement_period;
  });
}

void caller_handler::OnAdoptedElsewhere(const std::vector<std::uint64_t>& generations) {
  for (auto& [id, record] : core_.requests) {
    if (record.phase == request_phase::kDetached &&
        std::ranges::find(generations, Hash64(record.cursor.generation())) != generations.end()) {
      core_.Finish(record, {.reason = finish_reason::kCancelled,
                            .status = 499,
                            .message = "the caller resumed at another entry",
                            .attempts = attempt_disposition::kClose});
    }
  }
}

std::vector<std::uint64_t> caller_handler::AdoptedHashes(time_point now) const {
  std::vector<std::uint64_t> hashes;
  for (const auto& [generation, since] : adopted_) {
    if (now - since < core_.options.adoption_announcement_period) {
      hashes.push_back(Hash64(generation));
    }
  }
  std::ranges::sort(hashes);
  if (hashes.size() > kMaxGossipAdoptions) {
    // After the crash of an entry there can be more hashes than one datagram holds. The reported
    // part changes every second.
    const auto second = std::chrono::floor<std::chrono::seconds>(now.time_since_epoch()).count();
    const auto offset = static_cast<std::size_t>(second) * kMaxGossipAdoptions % hashes.size();
    std::ranges::rotate(hashes, hashes.begin() + static_cast<std::ptrdiff_t>(offset));
    hashes.resize(kMaxGossipAdoptions);
  }
  return hashes;
}

}  // namespace tarragon::decision
