// What a request handler does after a send has failed.

#include <algorithm>
#include <string>
#include <utility>

#include "tarragon/gateway/request_handler.h"
#include "tarragon/routing/sound_silence.h"

namespace tarragon::gateway {

namespace {

constexpr int kBadGateway = 502;
constexpr int kGatewayTimeout = 504;

/** Cooldown of an endpoint that declined a request, in which its queue can shrink. */
constexpr std::chrono::milliseconds kDeclineCooldown{100};
/** Cooldown after a failed connect or silence; a crashed endpoint is down for seconds. */
constexpr std::chrono::milliseconds kFailureCooldown{1000};

std::string_view FailureName(routing::send_failure failure) {
  switch (failure) {
    case routing::send_failure::kConnectFailed:
      return "connect_failed";
    case routing::send_failure::kDeclined:
      return "declined";
    case routing::send_failure::kConnectionLost:
      return "connection_lost";
    case routing::send_failure::kSilent:
      return "silent";
    case routing::send_failure::kBadAnswer:
      return "bad_answer";
    case routing::send_failure::kFailureStatus:
      return "failure_status";
  }
  return "unknown";
}

struct step_name {
  std::string_view operator()(routing::send_elsewhere) const { return "send_elsewhere"; }
  std::string_view operator()(routing::resume_from_copy) const { return "resume_from_copy"; }
  std::string_view operator()(routing::resume_elsewhere) const { return "resume_elsewhere"; }
  std::string_view operator()(routing::relay_failure) const { return "relay_failure"; }
  std::string_view operator()(routing::refuse) const { return "refuse"; }
  std::string_view operator()(routing::answer_unknown) const { return "answer_unknown"; }
  std::string_view operator()(routing::break_off) const { return "break_off"; }
};

}  // namespace

routing::request_progress request_handler::Progress() const {
  routing::request_progress progress;
  progress.kind = admitted_.route->kind;
  progress.resumable = admitted_.route->resumable;
  progress.possible_runs = runs_;
  progress.max_attempts = admitted_.route->max_attempts;
  progress.sends = sends_without_progress_;
  progress.failed_connects = failed_connects_;
  progress.answer_started = response_started_;
  progress.has_copy = copies_->HasCopy();
  progress.budget_left = gateway_.HasBudget(admitted_.service_name);
  progress.remaining_time = RemainingTime();
  progress.is_suspect = crashes_.IsQuarantined();
  return progress;
}

void request_handler::RecordEndpointFailure(routing::send_failure failure) {
  const time_point now = gateway_.time.Now();
  if (failure == routing::send_failure::kDeclined) {
    target_->cooldown_until = std::max(target_->cooldown_until, now + kDeclineCooldown);
    return;
  }
  ++target_->consecutive_failures;
  if (failure == routing::send_failure::kConnectFailed ||
      failure == routing::send_failure::kSilent) {
    target_->cooldown_until = now + kFailureCooldown;
  }
  if (failure == routing::send_failure::kConnectionLost) {
    crashes_.OnConnectionLost();
  }
}

void request_handler::HandleSendFailure(routing::send_failure failure, run_verdict verdict) {
  RecordEndpointFailure(failure);
  excluded_endpoints_.push_back(target_->entry.id);
  verdict_ = Combine(verdict_, verdict);
  if (verdict != run_verdict::kNotRun) {
    ++runs_;
  } else if (IsResumable() && !software_version_) {
    gateway_.origins.Retract(OriginAt(*target_));
  }
  ++(failure == routing::send_failure::kConnectFailed ? failed_connects_ : sends_without_progress_);
  copies_->EndSend();
  CloseExchange();
  reservation_.Release();
  const routing::next_step step = PlanRecovery(Progress(), failure, verdict_);
  gateway_.log.LogRequest("send_failed", {{"request", id_},
                                          {"endpoint", target_->entry.id},
                                          {"cause", FailureName(failure)},
                                          {"status", response_head_.status},
                                          {"verdict", ToString(verdict_)},
                                          {"events", stream_.events_sent()},
                                          {"copies", copies_->CopyEndpointIds()},
                                          {"leaving", target_->leaving},
                                          {"next", std::visit(step_name{}, step)},
                                          {"age_ms", Age().count()}});
  ExecuteStep(step, failure);
}

void request_handler::ExecuteStep(const routing::next_step& step, routing::send_failure failure) {
  struct visitor {
    request_handler& handler;
    routing::send_failure failure;

    void operator()(routing::send_elsewhere) const {
      // A failed connect puts no load on the service, so it does not use the retry budget.
      if (failure != routing::send_failure::kConnectFailed) {
        handler.gateway_.TakeBudget(handler.admitted_.service_name);
      }
      handler.Dispatch();
    }
    void operator()(routing::resume_from_copy) const { handler.ResumeFromCopy(); }
    void operator()(routing::resume_elsewhere) const {
      handler.gateway_.TakeBudget(handler.admitted_.service_name);
      handler.Dispatch();
    }
    void operator()(routing::relay_failure) const { handler.RelayResponse(); }
    void operator()(routing::refuse) const {
      handler.Refuse(FailureName(failure), kDefaultRetryAfter);
    }
    void operator()(routing::answer_unknown) const {
      handler.SendError(failure == routing::send_failure::kSilent ? kGatewayTimeout : kBadGateway,
                        FailureName(failure));
    }
    void operator()(routing::break_off) const { handler.AbortResponse(FailureName(failure)); }
  };
  std::visit(visitor{*this, failure}, step);
}

void request_handler::ResumeFromCopy() {
  const bool has_waited = std::exchange(awaits_copy_, false);
  const std::optional<copy_location> location = copies_->FindCopy();
  if (!location && has_waited) {
    constexpr auto kFailure = routing::send_failure::kConnectionLost;
    ExecuteStep(PlanRecovery(Progress(), kFailure, verdict_), kFailure);
    return;
  }
  if (!location) {
    FailRequest("copy_lost", kBadGateway);
    return;
  }
  const routing::endpoint_ptr engine = gateway_.endpoints.Find(location->endpoint_id);
  const time_point now = gateway_.time.Now();
  if (engine->pause.IsPaused(now) ||
      !routing::endpoint_picker::TakesByLimit(now, *engine, MakePickRequest())) {
    awaits_copy_ = true;
    WaitForRoom(std::max(engine->pause.Remaining(now),
                         engine->limit.TimeToRoom(now, routing::limit_use::kBegunStream)));
    return;
  }
  copies_->TakeCopy();
  gateway_.TakeBudget(admitted_.service_name);
  SendTo(engine, location);
  gateway_.log.LogRequest("request_continued", {{"request", id_},
                                                {"endpoint", location->endpoint_id},
                                                {"software", engine->entry.software_version},
                                                {"copy", location->reference},
                                                {"after_event", stream_.last_event().value_or(0)},
                                                {"age_ms", Age().count()}});
}

std::optional<time_point> request_handler::SilenceDeadline() const {
  if (!exchange_) {
    return std::nullopt;
  }
  const bool may_run_again = runs_ + 1 < admitted_.route->max_attempts;
  if (admitted_.route->kind == routing::repeat_kind::kSafe) {
    return may_run_again ? std::optional(sent_at_ + 2 * admitted_.route->latency_objective)
                         : std::nullopt;
  }
  if (admitted_.route->kind != routing::repeat_kind::kStream) {
    return std::nullopt;
  }
  // An engine may be silent during prefill or while it has preempted the generation. Only resumable
  // streams are resent because of silence; for others the connection's keepalive probes detect a
  // dead engine.
  if (!admitted_.route->resumable || !may_run_again) {
    return std::nullopt;
  }
  // An engine that may still be sound is waited for if the exit would cut the stream elsewhere.
  const duration least = MoveEndsBeforeExit() ? duration::zero() : routing::kLongestSoundSilence;
  return stream_.has_begun()
             ? last_progress_at_ + std::max<duration>(kStreamSilence, least)
             : sent_at_ + std::max<duration>(2 * admitted_.route->latency_objective, least);
}

bool request_handler::MoveEndsBeforeExit() const {
  if (!gateway_.draining) {
    return true;
  }
  admitted_request rest = admitted_;
  // An event holds one token or more.
  const std::uint64_t made =
      std::min<std::uint64_t>(stream_.events_sent(), std::max(rest.size.max_output_tokens, 1U) - 1);
  rest.size.max_output_tokens -= static_cast<std::uint32_t>(made);
  return CanFinishBeforeExit(gateway_, rest, RemainingTime());
}

bool request_handler::CanMoveElsewhere() const {
  routing::request_progress progress = Progress();
  ++progress.possible_runs;
  ++progress.sends;
  const routing::next_step step = PlanRecovery(progress, routing::send_failure::kSilent,
                                               Combine(verdict_, run_verdict::kMayHaveRun));
  if (std::holds_alternative<routing::resume_from_copy>(step)) {
    return true;
  }
  const bool sends_again = std::holds_alternative<routing::send_elsewhere>(step) ||
                           std::holds_alternative<routing::resume_elsewhere>(step);
  if (!sends_again) {
    return false;
  }
  routing::pick_request wanted = MakePickRequest();
  wanted.excluded.push_back(target_->entry.id);
  const routing::pick_result pick =
      gateway_.picker.Pick(gateway_.time.Now(), gateway_.endpoints, wanted);
  // A full engine would decline the stream, whose own engine may still be sound.
  const bool needs_capacity = wanted.engine != nullptr && gateway_.time.Now() < SoundUntil();
  return pick.chosen != nullptr && (pick.has_capacity || !needs_capacity);
}

time_point request_handler::SoundUntil() const {
  return (stream_.has_begun() ? last_progress_at_ : sent_at_) + routing::kLongestSoundSilence;
}

}  // namespace tarragon::gateway
