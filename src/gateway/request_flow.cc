#include "tarragon/gateway/request_flow.h"

#include <fmt/format.h>

#include <algorithm>
#include <string>
#include <utility>

#include "tarragon/base/invariant.h"
#include "tarragon/gateway/endpoint_request.h"

namespace tarragon::gateway {

namespace {

constexpr int kOk = 200;
constexpr int kFirstRedirect = 300;
constexpr int kRequestTimeout = 408;
constexpr int kMisdirected = 421;
constexpr int kTooManyRequests = 429;
constexpr int kServerError = 500;
constexpr int kBadGateway = 502;
constexpr int kUnavailable = 503;
constexpr int kGatewayTimeout = 504;

/** Answers of plain services are a few KB; a larger one is cut off rather than held. */
constexpr std::size_t kMaxBufferedAnswer = std::size_t{8} << 20;

/** Pause before new work goes to an endpoint that declined: its queue has to shrink first. */
constexpr std::chrono::milliseconds kDeclinePause{100};
/** Pause after a failed connect or a lost connection; a crashed endpoint is away for seconds. */
constexpr std::chrono::milliseconds kFailurePause{1000};

/** A caller that is refused without a better estimate comes back after this time. */
constexpr std::chrono::milliseconds kDefaultRetryAfter{400};

/** Without an endpoint that takes work, a request looks again at this interval. */
constexpr std::chrono::milliseconds kLookAgain{50};

/** Events of a healthy stream are tens of ms apart; an engine that is dark sends none. */
constexpr std::chrono::milliseconds kStreamSilence{1200};

/** Statuses that tell the caller that its request has not run and never will. */
bool PromisesNotRun(int status) {
  return status == kTooManyRequests || status == kUnavailable || status == kRequestTimeout ||
         status == kMisdirected;
}

std::string_view NameOf(routing::send_failure failure) {
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

request_flow::request_flow(gateway_state& gateway, caller_request request, answer_sink& sink)
    : gateway_(gateway), request_(std::move(request)), sink_(&sink), timer_(gateway.loop) {
  gateway_.flows.insert(this);
}

request_flow::~request_flow() {
  TARRAGON_INVARIANT(finished_, "a request ended without an answer");
}

void request_flow::Start() {
  if (const std::string* value = request_.head.headers.Find(gateway_.adapter.names().request_id)) {
    id_ = *value;
  }
  auto decided = Admit(gateway_, request_, id_);
  if (const auto* rejected = std::get_if<rejected_request>(&decided)) {
    AnswerOwn(rejected->status, rejected->reason, rejected->retry_after);
    return;
  }
  admitted_ = std::get<admitted_request>(std::move(decided));
  stream_.StartBehind(admitted_.last_event);
  copies_ = std::make_unique<generation_copies>(gateway_, id_);
  gateway_.Budget(admitted_.service_name).RecordRequest(gateway_.time.Now());
  Dispatch();
  ArmTimer();
}

routing::pick_request request_flow::PickRequest() const {
  routing::pick_request wanted;
  wanted.service = admitted_.service_name;
  wanted.size = admitted_.size;
  wanted.engine = admitted_.service != nullptr && admitted_.service->engine
                      ? &*admitted_.service->engine
                      : nullptr;
  wanted.own_failure_domain = gateway_.own_failure_domain;
  wanted.pause_objective = admitted_.rule->pause_objective;
  wanted.excluded = excluded_;
  return wanted;
}

void request_flow::Dispatch() {
  if (finished_ || exchange_) {
    return;
  }
  if (Left() <= std::chrono::milliseconds(0)) {
    OnTimer();
    return;
  }
  const routing::pick_result pick =
      gateway_.picker.Pick(gateway_.time.Now(), gateway_.endpoints, PickRequest());
  if (!pick.chosen) {
    if (Age() >= admitted_.rule->latency_objective / 2) {
      EndUnserved("no_endpoint", kBadGateway);
      return;
    }
    auto again = std::make_shared<asio::steady_timer>(gateway_.loop, kLookAgain);
    again->async_wait(
        [self = shared_from_this(), again](const asio::error_code&) { self->Dispatch(); });
    return;
  }
  SendTo(pick.chosen, std::nullopt);
  gateway_.log.Request("request_sent", {{"request", id_},
                                        {"route", admitted_.rule->name},
                                        {"config", admitted_.config->version()},
                                        {"endpoint", target_->entry.id},
                                        {"room", pick.has_capacity},
                                        {"expected_ms", static_cast<int>(pick.expected.count())},
                                        {"own", target_->own_load.requests},
                                        {"others", target_->peer_load.requests},
                                        {"tokens", admitted_.size.tokens()},
                                        {"slowness", target_->slowness.Minimum().value_or(0)},
                                        {"send", sends_},
                                        {"left_ms", Left().count()}});
}

void request_flow::SendTo(const routing::endpoint_ptr& target,
                          const std::optional<copy_place>& copy) {
  TARRAGON_INVARIANT(!exchange_, "one send at a time");
  TARRAGON_INVARIANT(copy || !answer_started_ || admitted_.rule->resumable,
                     "a stream that may not be repeated is continued from a copy only");
  target_ = target;
  const bool is_long = gateway_.picker.IsLongStream(PickRequest());
  booking_ = {target_,
              {.requests = 1,
               .tokens = admitted_.size.tokens(),
               .unread_tokens = copy ? 0 : admitted_.size.prompt_tokens,
               .long_streams = is_long ? 1U : 0U}};
  ++sends_;
  sent_at_ = last_bytes_ = gateway_.time.Now();
  skipping_answer_ = false;
  streaming_ = false;
  answer_body_.clear();
  stream_.BeginSend();
  send_parts parts{.endpoint_id = target->entry.id,
                   .left = Left(),
                   .account = admitted_.account,
                   .last_event = stream_.last_event(),
                   .memory_copy = copy ? copy->reference : "",
                   .backup_address = {}};
  if (admitted_.rule->kind == routing::repeat_kind::kStream) {
    parts.backup_address = copies_->Begin(target, PickRequest());
  }
  exchange_ = std::make_shared<http_exchange>(gateway_.loop, *this);
  exchange_->Start(target->entry.address,
                   EndpointRequest(gateway_.adapter.names(), request_, parts),
                   request_.head.method == "HEAD");
  if (gateway_.on_load_added) {
    gateway_.on_load_added();
  }
}

bool request_flow::IsAnswerToThis(const http::message_head& head) const {
  const std::string* echoed = head.headers.Find(gateway_.adapter.names().request_id);
  return echoed == nullptr || *echoed == id_;
}

void request_flow::OnAnswerHead(http::message_head head) {
  const auto self = shared_from_this();
  last_bytes_ = gateway_.time.Now();
  skipping_answer_ = !IsAnswerToThis(head);
  if (skipping_answer_) {
    return;
  }
  if (const auto load = gateway_.adapter.Load(head.headers)) {
    target_->slowness.Record(last_bytes_, load->slowness);
  }
  answer_ = std::move(head);
  const bool success = answer_.status >= kOk && answer_.status < kFirstRedirect;
  if (!success) {
    return;
  }
  const bool trusted = answer_.headers.Find(gateway_.adapter.names().signature) != nullptr &&
                       answer_.headers.Find("Content-Encoding") == nullptr;
  if (!trusted) {
    SendFailed(routing::send_failure::kBadAnswer, run_verdict::kMayHaveRun);
    return;
  }
  streaming_ = admitted_.rule->kind == routing::repeat_kind::kStream;
}

void request_flow::OnAnswerBody(std::string_view bytes) {
  const auto self = shared_from_this();
  if (skipping_answer_) {
    return;
  }
  last_bytes_ = gateway_.time.Now();
  if (streaming_) {
    TakeStreamBytes(bytes);
    return;
  }
  answer_body_.append(bytes);
  if (answer_body_.size() > kMaxBufferedAnswer) {
    SendFailed(routing::send_failure::kBadAnswer, run_verdict::kMayHaveRun);
  }
}

void request_flow::TakeStreamBytes(std::string_view bytes) {
  const std::optional<event_batch> batch = stream_.Feed(bytes);
  if (!batch) {
    SendFailed(routing::send_failure::kBadAnswer, run_verdict::kMayHaveRun);
    return;
  }
  if (batch->bytes.empty()) {
    return;
  }
  const bool first_of_send = stream_.awaits_first_of_send();
  NoteArrival(*batch);
  if (first_of_send) {
    booking_.OnPrefillDone();
    fruitless_sends_ = failed_connects_ = 0;
  }
  BeginAnswer();
  if (sink_ != nullptr) {
    sink_->SendPart(batch->bytes);
  }
  if (first_of_send) {
    copies_->RunBegan();
  }
}

void request_flow::BeginAnswer() {
  if (!std::exchange(answer_started_, true)) {
    http::header_list headers = answer_.headers;
    headers.RemoveHopByHop();
    sink_->BeginStream(answer_.status, std::move(headers));
  }
}

void request_flow::NoteArrival(const event_batch& batch) {
  const time_point now = gateway_.time.Now();
  const bool first_of_send = stream_.awaits_first_of_send();
  const std::optional<duration> interval = stream_.NoteArrival(now, batch);
  if (!interval) {
    first_event_after_ = Age();
    gateway_.counters.Latency("tarragon_gateway_first_event_seconds")
        .Record(now - request_.received);
  } else if (first_of_send) {
    NoteResumed(*interval);
  } else {
    target_->event_interval.Record(now, *interval / static_cast<std::int64_t>(batch.events),
                                   target_->own_load.requests + target_->peer_load.requests);
  }
}

void request_flow::NoteResumed(duration pause) {
  const auto milliseconds = [](duration time) {
    return std::chrono::duration_cast<std::chrono::milliseconds>(time).count();
  };
  gateway_.log.Request(
      "stream_resumed",
      {{"request", id_},
       {"endpoint", target_->entry.id},
       {"pause_ms", milliseconds(pause)},
       {"since_send_ms", milliseconds(gateway_.time.Now() - sent_at_)},
       {"unread_tokens", target_->own_load.unread_tokens + target_->peer_load.unread_tokens},
       {"slowness", target_->slowness.Current(gateway_.time.Now())}});
}

void request_flow::OnAnswerEnd() {
  const auto self = shared_from_this();
  if (skipping_answer_) {
    skipping_answer_ = false;
    exchange_->AwaitNextAnswer();
    return;
  }
  if (!streaming_) {
    FinishBuffered();
    return;
  }
  if (stream_.ends_inside_event()) {
    SendFailed(routing::send_failure::kConnectionLost, run_verdict::kMayHaveRun);
    return;
  }
  target_->consecutive_failures = 0;
  gateway_.suspects.RecordCompleted(admitted_.content);
  BeginAnswer();
  sink_->EndStream();
  Finish("completed");
}

void request_flow::FinishBuffered() {
  const header_names& names = gateway_.adapter.names();
  const bool not_run =
      answer_.status == kMisdirected || answer_.headers.Find(names.not_run) != nullptr;
  if (not_run) {
    SendFailed(routing::send_failure::kDeclined, run_verdict::kNotRun);
    return;
  }
  if (answer_started_ || PromisesNotRun(answer_.status)) {
    // Passing the status on would promise that the request has not run, which is not known.
    SendFailed(routing::send_failure::kBadAnswer, run_verdict::kMayHaveRun);
    return;
  }
  if (answer_.status >= kServerError) {
    SendFailed(routing::send_failure::kFailureStatus, run_verdict::kRan);
    return;
  }
  target_->consecutive_failures = 0;
  gateway_.suspects.RecordCompleted(admitted_.content);
  Relay();
}

void request_flow::Relay() {
  http::header_list headers = answer_.headers;
  headers.RemoveHopByHop();
  sink_->SendWhole(answer_.status, std::move(headers), answer_body_);
  Finish(answer_.status < kServerError ? "completed" : "endpoint_failure");
}

void request_flow::OnExchangeError(exchange_error error) {
  const auto self = shared_from_this();
  switch (error) {
    case exchange_error::kConnectFailed:
      SendFailed(routing::send_failure::kConnectFailed, run_verdict::kNotRun);
      return;
    case exchange_error::kMalformed:
      SendFailed(routing::send_failure::kBadAnswer, run_verdict::kMayHaveRun);
      return;
    case exchange_error::kLost:
      break;
  }
  SendFailed(routing::send_failure::kConnectionLost, run_verdict::kMayHaveRun);
}

routing::request_progress request_flow::Progress() const {
  routing::request_progress progress;
  progress.kind = admitted_.rule->kind;
  progress.resumable = admitted_.rule->resumable;
  progress.possible_runs = runs_;
  progress.max_attempts = admitted_.rule->max_attempts;
  progress.sends = fruitless_sends_;
  progress.failed_connects = failed_connects_;
  progress.answer_started = answer_started_;
  progress.has_copy = copies_->Has();
  progress.budget_left = gateway_.HasBudget(admitted_.service_name);
  progress.remaining_time = Left();
  progress.is_suspect = gateway_.suspects.IsRefused(admitted_.content);
  return progress;
}

bool request_flow::EndedByCrash(routing::send_failure failure) const {
  return failure == routing::send_failure::kConnectionLost && !target_->leaving;
}

void request_flow::NoteEndpointFailure(routing::send_failure failure) {
  const time_point now = gateway_.time.Now();
  if (failure == routing::send_failure::kDeclined) {
    target_->cooldown_until = std::max(target_->cooldown_until, now + kDeclinePause);
    return;
  }
  ++target_->consecutive_failures;
  if (failure == routing::send_failure::kConnectFailed ||
      failure == routing::send_failure::kSilent) {
    target_->cooldown_until = now + kFailurePause;
  }
  if (EndedByCrash(failure)) {
    gateway_.suspects.RecordCrash(now, admitted_.content);
  }
}

void request_flow::SendFailed(routing::send_failure failure, run_verdict verdict) {
  NoteEndpointFailure(failure);
  excluded_.push_back(target_->entry.id);
  verdict_ = Combine(verdict_, verdict);
  if (verdict != run_verdict::kNotRun) {
    ++runs_;
  }
  ++(failure == routing::send_failure::kConnectFailed ? failed_connects_ : fruitless_sends_);
  copies_->SendEnded();
  CloseExchange();
  booking_.Release();
  const routing::next_step step = PlanRecovery(Progress(), failure, verdict_);
  gateway_.log.Request("send_failed", {{"request", id_},
                                       {"endpoint", target_->entry.id},
                                       {"cause", NameOf(failure)},
                                       {"status", answer_.status},
                                       {"verdict", ToString(verdict_)},
                                       {"events", stream_.events_sent()},
                                       {"copies", copies_->Names()},
                                       {"leaving", target_->leaving},
                                       {"next", std::visit(step_name{}, step)},
                                       {"age_ms", Age().count()}});
  Carry(step, failure);
}

void request_flow::Carry(const routing::next_step& step, routing::send_failure failure) {
  struct visitor {
    request_flow& flow;
    routing::send_failure failure;

    void operator()(routing::send_elsewhere) const {
      // A connection that was never made is no arrival at the service.
      if (failure != routing::send_failure::kConnectFailed) {
        flow.gateway_.TakeBudget(flow.admitted_.service_name);
      }
      flow.Dispatch();
    }
    void operator()(routing::resume_from_copy) const { flow.ResumeFromCopy(); }
    void operator()(routing::resume_elsewhere) const {
      flow.gateway_.TakeBudget(flow.admitted_.service_name);
      flow.Dispatch();
    }
    void operator()(routing::relay_failure) const { flow.Relay(); }
    void operator()(routing::refuse) const { flow.Refuse(NameOf(failure), kDefaultRetryAfter); }
    void operator()(routing::answer_unknown) const {
      flow.AnswerOwn(failure == routing::send_failure::kSilent ? kGatewayTimeout : kBadGateway,
                     NameOf(failure));
    }
    void operator()(routing::break_off) const { flow.BreakOff(NameOf(failure)); }
  };
  std::visit(visitor{*this, failure}, step);
}

void request_flow::ResumeFromCopy() {
  const std::optional<copy_place> place = copies_->Take();
  if (!place) {
    EndUnserved("copy_lost", kBadGateway);
    return;
  }
  gateway_.TakeBudget(admitted_.service_name);
  SendTo(gateway_.endpoints.Find(place->endpoint_id), place);
  gateway_.log.Request("request_continued", {{"request", id_},
                                             {"endpoint", place->endpoint_id},
                                             {"copy", place->reference},
                                             {"after_event", stream_.last_event().value_or(0)},
                                             {"age_ms", Age().count()}});
}

void request_flow::EndpointLeaving(const routing::endpoint& which) {
  if (!finished_ && exchange_) {
    copies_->EndpointLeaving(which);
  }
}

void request_flow::CallerGone() {
  sink_ = nullptr;
  if (!finished_) {
    Finish("caller_gone");
  }
}

void request_flow::Abandon() {
  if (!finished_) {
    EndUnserved("process_ends", kGatewayTimeout);
  }
}

void request_flow::EndUnserved(std::string_view reason, int unknown_status) {
  if (answer_started_) {
    BreakOff(reason);
  } else if (!exchange_ && verdict_ == run_verdict::kNotRun) {
    Refuse(reason, kDefaultRetryAfter);
  } else {
    AnswerOwn(unknown_status, reason);
  }
}

void request_flow::Refuse(std::string_view reason, std::chrono::milliseconds retry_after) {
  TARRAGON_INVARIANT(verdict_ == run_verdict::kNotRun && !exchange_,
                     "a refusal states that the request has not run");
  AnswerOwn(kUnavailable, reason, retry_after);
}

void request_flow::AnswerOwn(int status,
                             std::string_view reason,
                             std::optional<std::chrono::milliseconds> retry_after) {
  CloseExchange();
  http::header_list headers;
  headers.Add("Content-Type", "application/json");
  if (retry_after) {
    const double seconds = std::chrono::duration<double>(*retry_after).count();
    headers.Add(gateway_.adapter.names().retry_after, fmt::format("{:.3f}", seconds));
  }
  const std::string body =
      fmt::format(R"({{"error":{{"code":"{}","status":{}}}}})", reason, status);
  sink_->SendWhole(status, std::move(headers), body);
  Finish(reason);
}

void request_flow::BreakOff(std::string_view reason) {
  sink_->BreakOff();
  Finish(reason);
}

void request_flow::Finish(std::string_view outcome) {
  TARRAGON_INVARIANT(!finished_, "a request has one final answer");
  finished_ = true;
  if (copies_) {
    copies_->Free();
  }
  CloseExchange();
  booking_.Release();
  timer_.cancel();
  sink_ = nullptr;
  gateway_.flows.erase(this);
  const time_point now = gateway_.time.Now();
  gateway_.counters
      .Counter("tarragon_gateway_requests_total", fmt::format("outcome=\"{}\"", outcome))
      .Add();
  gateway_.counters.Latency("tarragon_gateway_request_seconds").Record(now - request_.received);
  gateway_.log.Request(
      "request_finished",
      {{"request", id_},
       {"route", admitted_.rule != nullptr ? admitted_.rule->name : std::string("-")},
       {"outcome", outcome},
       {"status", answer_.status},
       {"endpoint", target_ ? target_->entry.id : std::string("-")},
       {"sends", sends_},
       {"events", stream_.events_sent()},
       {"first_event_ms", first_event_after_.count()},
       {"longest_pause_ms",
        std::chrono::duration_cast<std::chrono::milliseconds>(stream_.longest_pause()).count()},
       {"age_ms", Age().count()}});
  if (gateway_.on_idle) {
    gateway_.on_idle();
  }
}

void request_flow::CloseExchange() {
  if (exchange_) {
    exchange_->Cancel();
    exchange_.reset();
  }
}

std::chrono::milliseconds request_flow::Left() const {
  return std::max(std::chrono::milliseconds(0), std::chrono::floor<std::chrono::milliseconds>(
                                                    admitted_.deadline - gateway_.time.Now()));
}

std::chrono::milliseconds request_flow::Age() const {
  return std::chrono::floor<std::chrono::milliseconds>(gateway_.time.Now() - request_.received);
}

std::optional<time_point> request_flow::SilenceLimit() const {
  if (!exchange_) {
    return std::nullopt;
  }
  const bool may_run_again = runs_ + 1 < admitted_.rule->max_attempts;
  if (admitted_.rule->kind == routing::repeat_kind::kSafe) {
    return may_run_again ? std::optional(sent_at_ + 2 * admitted_.rule->latency_objective)
                         : std::nullopt;
  }
  if (admitted_.rule->kind != routing::repeat_kind::kStream) {
    return std::nullopt;
  }
  // An engine may be silent while it reads prompts or has preempted the generation. Only a stream
  // that may be repeated goes elsewhere for that; for others the connection's probes tell whether
  // the engine is gone.
  if (!admitted_.rule->resumable || !may_run_again) {
    return std::nullopt;
  }
  return stream_.has_begun() ? last_bytes_ + kStreamSilence
                             : sent_at_ + 2 * admitted_.rule->latency_objective;
}

void request_flow::ArmTimer() {
  if (finished_) {
    return;
  }
  time_point next = admitted_.deadline;
  if (const auto limit = SilenceLimit()) {
    next = std::min(next, *limit);
  }
  const time_point now = gateway_.time.Now();
  const duration wait = std::max<duration>(next - now, std::chrono::milliseconds(1));
  // The silence of a later send may end sooner than that of the present one.
  const duration recheck =
      std::max<duration>(admitted_.rule->latency_objective, kStreamSilence / 4);
  timer_.expires_after(std::min(wait, recheck));
  timer_.async_wait([self = shared_from_this()](const asio::error_code& error) {
    if (!error) {
      self->OnTimer();
    }
  });
}

void request_flow::OnTimer() {
  if (finished_) {
    return;
  }
  const time_point now = gateway_.time.Now();
  if (now >= admitted_.deadline) {
    EndUnserved("deadline", kGatewayTimeout);
    return;
  }
  if (const auto limit = SilenceLimit(); limit && now >= *limit) {
    SendFailed(routing::send_failure::kSilent, run_verdict::kMayHaveRun);
  }
  ArmTimer();
}

}  // namespace tarragon::gateway
