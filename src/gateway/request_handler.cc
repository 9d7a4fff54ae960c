#include "tarragon/gateway/request_handler.h"

#include <fmt/format.h>

#include <algorithm>
#include <string>
#include <utility>

#include "tarragon/base/invariant.h"
#include "tarragon/gateway/endpoint_request.h"
#include "tarragon/gateway/origin_finder.h"

namespace tarragon::gateway {

namespace {

constexpr int kBadGateway = 502;
constexpr int kGatewayTimeout = 504;

/** Time after its deadline in which a caller may still take up a stream. */
constexpr std::chrono::seconds kTakeUpTime{10};
/** The stream cannot go on, whenever its caller comes back: only a new one can be served. */
constexpr std::chrono::milliseconds kLostStreamRetryAfter{30000};

}  // namespace

request_handler::request_handler(gateway_state& gateway,
                                 caller_request request,
                                 response_writer& writer)
    : gateway_(gateway),
      request_(std::move(request)),
      writer_(&writer),
      timer_(gateway.loop),
      crashes_(gateway) {
  gateway_.open_requests.insert(this);
}

request_handler::~request_handler() {
  TARRAGON_INVARIANT(finished_, "the request was destroyed before its final response");
}

void request_handler::Start() {
  if (const auto value = request_.head.headers.Find(gateway_.adapter.names().request_id)) {
    id_ = *value;
  }
  auto admission = AdmitRequest(gateway_, request_, id_);
  if (const auto* rejected = std::get_if<rejected_request>(&admission)) {
    SendError(rejected->status, rejected->reason, rejected->retry_after);
    return;
  }
  admitted_ = std::get<admitted_request>(std::move(admission));
  crashes_.OnAdmitted(id_, admitted_);
  stream_.StartAfter(admitted_.last_event);
  copies_ = std::make_unique<generation_copies>(gateway_, id_);
  gateway_.Budget(admitted_.service_name).RecordRequest(gateway_.time.Now());
  if (admitted_.last_event && admitted_.route->kind == routing::repeat_kind::kStream) {
    FindOrigin();
  } else {
    Dispatch();
  }
  ArmTimer();
}

void request_handler::FindOrigin() {
  const routing::stream_key key =
      routing::MakeStreamKey(admitted_.account, admitted_.resumed_request_id);
  const std::vector<routing::software_version> own = gateway_.origins.Find(key);
  if (!own.empty()) {
    OnOriginFound(routing::DecideTakeUp(own, {}));
  } else if (gateway_.origin_lookup == nullptr) {
    Dispatch();
  } else {
    gateway_.origin_lookup->Find(
        key, admitted_.service_name,
        [self = shared_from_this()](const std::optional<routing::take_up_decision>& found) {
          self->OnOriginFound(found);
        });
  }
}

void request_handler::OnOriginFound(const std::optional<routing::take_up_decision>& found) {
  if (finished_) {
    return;
  }
  const auto* const origin = found ? std::get_if<routing::continue_at>(&*found) : nullptr;
  const bool is_routed =
      origin != nullptr &&
      std::ranges::find(admitted_.route->services, origin->version.service,
                        &routing::weighted_service::service) != admitted_.route->services.end();
  gateway_.log.LogRequest("stream_taken_up",
                          {{"request", id_},
                           {"resumes", admitted_.resumed_request_id},
                           {"store", found.has_value()},
                           {"known", origin != nullptr},
                           {"software", origin != nullptr ? origin->version.version : "-"},
                           {"age_ms", Age().count()}});
  if (!found) {
    FailRequest("stream_origin_unavailable", kBadGateway, kDefaultRetryAfter);
  } else if (!is_routed) {
    FailRequest("stream_origin_unknown", kBadGateway, kLostStreamRetryAfter);
  } else {
    admitted_.service_name = origin->version.service;
    admitted_.service = admitted_.config->FindService(admitted_.service_name);
    software_version_ = origin->version.version;
    Dispatch();
  }
}

bool request_handler::IsResumable() const {
  return admitted_.route->kind == routing::repeat_kind::kStream && admitted_.route->resumable;
}

routing::stream_origin request_handler::OriginAt(const routing::endpoint& target) const {
  return {routing::MakeStreamKey(admitted_.account, id_),
          {target.entry.service, target.entry.software_version}};
}

bool request_handler::MayBeginAt(const routing::endpoint& target) {
  if (!IsResumable() || software_version_) {
    return true;
  }
  const routing::stream_origin origin = OriginAt(target);
  const bool may_begin = gateway_.origins.MaySend(origin, gateway_.IsMixed(origin.version.service));
  gateway_.RecordOrigin(origin, admitted_.deadline + kTakeUpTime);
  return may_begin;
}

routing::pick_request request_handler::MakePickRequest() const {
  routing::pick_request requirements;
  requirements.service = admitted_.service_name;
  requirements.size = admitted_.size;
  requirements.engine = admitted_.service != nullptr && admitted_.service->engine
                            ? &*admitted_.service->engine
                            : nullptr;
  requirements.own_failure_domain = gateway_.own_failure_domain;
  requirements.pause_objective = admitted_.route->pause_objective;
  requirements.entropy = gateway_.random();
  requirements.memory_share = AllowedMemoryShare(DescribeWait());
  requirements.contenders = CountContenders();
  requirements.waited = contention_.Age(gateway_.time.Now());
  requirements.has_begun = response_started_;
  requirements.excluded = excluded_endpoints_;
  requirements.software_version = software_version_;
  requirements.is_resumable = IsResumable();
  return requirements;
}

void request_handler::Dispatch() {
  if (finished_ || exchange_) {
    return;
  }
  if (RemainingTime() <= std::chrono::milliseconds(0)) {
    OnTimer();
    return;
  }
  if (crashes_.IsQuarantined()) {
    FailRequest("crashes_endpoints", kBadGateway, kQuarantineRetryAfter);
    return;
  }
  if (awaits_copy_) {
    ResumeFromCopy();
    return;
  }
  const bool may_refuse = !response_started_ && verdict_ == run_verdict::kNotRun;
  if (may_refuse && !CanFinishBeforeExit(gateway_, admitted_, RemainingTime())) {
    FailRequest("draining", kBadGateway, kDrainingRetryAfter);
    return;
  }
  const routing::pick_request wanted = MakePickRequest();
  const routing::pick_result pick =
      gateway_.picker.Pick(gateway_.time.Now(), gateway_.endpoints, wanted);
  if (!pick.chosen) {
    if (pick.time_to_room) {
      WaitForRoom(*pick.time_to_room);
    } else {
      WaitForEndpoint(pick);
    }
    return;
  }
  // A stream that has begun goes on at once, as its caller waits for the next event.
  const bool needs_capacity = wanted.engine != nullptr || pick.chosen->is_brittle;
  if (!pick.has_capacity && needs_capacity && !response_started_) {
    WaitForCapacity();
    return;
  }
  if (!MayBeginAt(*pick.chosen)) {
    ExecuteWait(DecideWithoutEndpoint(routing::pick_result{}, DescribeWait(), RandomPoint()),
                "stream_origin_unrecorded", "tarragon_gateway_origin_waits_total");
    return;
  }
  SendTo(pick.chosen, std::nullopt);
  gateway_.log.LogRequest("request_sent",
                          {{"request", id_},
                           {"route", admitted_.route->name},
                           {"config", admitted_.config->version()},
                           {"endpoint", target_->entry.id},
                           {"software", target_->entry.software_version},
                           {"resumes", admitted_.resumed_request_id},
                           {"room", pick.has_capacity},
                           {"expected_ms", static_cast<int>(pick.expected.count())},
                           {"own", target_->own_load.requests},
                           {"others", target_->peer_load.requests},
                           {"tokens", admitted_.size.tokens()},
                           {"parts", fmt::format("{}", fmt::join(admitted_.shared_parts, "/"))},
                           {"slowness", target_->slowness.Minimum().value_or(0)},
                           {"send", sends_},
                           {"left_ms", RemainingTime().count()},
                           {"exit_ms", gateway_.draining ? gateway_.TimeUntilExit().count() : -1}});
}

void request_handler::SendTo(const routing::endpoint_ptr& target,
                             const std::optional<copy_location>& copy) {
  TARRAGON_INVARIANT(!exchange_, "a send was started while another was in flight");
  TARRAGON_INVARIANT(copy || !response_started_ || admitted_.route->resumable,
                     "a started stream that is not resumable may only be resumed from a copy");
  TARRAGON_INVARIANT(!software_version_ || *software_version_ == target->entry.software_version,
                     "a stream goes on at another software version than the one that began it");
  SetWaiting(false);
  contention_.OnSent();
  target_ = target;
  const bool is_long = gateway_.picker.IsLongStream(MakePickRequest());
  reservation_ = {target_,
                  {.requests = 1,
                   .tokens = admitted_.size.tokens(),
                   .unread_tokens = copy ? 0 : admitted_.size.prompt_tokens,
                   .long_streams = is_long ? 1U : 0U}};
  gateway_.used_endpoints.Add(target_);
  ++sends_;
  sent_at_ = last_progress_at_ = gateway_.time.Now();
  target_->limit.RecordSend(sent_at_);
  crashes_.OnSent(target);
  skipping_response_ = false;
  streaming_ = false;
  DropResponseBody();
  stream_.BeginSend();
  added_headers added{.endpoint_id = target->entry.id,
                      .remaining_time = RemainingTime(),
                      .account = admitted_.account,
                      .last_event = stream_.last_event(),
                      .kv_copy = copy ? copy->reference : "",
                      .priority = {},
                      .backup_address = {}};
  if (admitted_.service != nullptr && admitted_.service->engine) {
    added.priority = admitted_.priority;
  }
  if (admitted_.route->kind == routing::repeat_kind::kStream) {
    added.backup_address = copies_->BeginSend(target, MakePickRequest());
  }
  exchange_ = std::make_shared<http_exchange>(gateway_.loop, *this, gateway_.paths);
  exchange_->Start(target->entry.address,
                   BuildEndpointRequest(gateway_.adapter.names(), request_, added),
                   request_.head.method == "HEAD");
  if (gateway_.on_request_sent) {
    gateway_.on_request_sent();
  }
}

void request_handler::DispatchAfter(std::chrono::milliseconds delay) {
  auto retry_timer = std::make_shared<asio::steady_timer>(gateway_.loop, delay);
  retry_timer->async_wait(
      [self = shared_from_this(), retry_timer](const asio::error_code&) { self->Dispatch(); });
}

void request_handler::WaitForEndpoint(routing::pick_result pick) {
  if (pick.is_version_gone && IsListCurrent()) {
    FailRequest("stream_version_gone", kBadGateway, kLostStreamRetryAfter);
    return;
  }
  // A list that is not current says nothing of a version that it lacks.
  pick.all_leave = pick.all_leave && !pick.is_version_gone;
  const std::string_view pause_reason =
      pick.time_to_end_of_pause ? "endpoints_pause" : "no_endpoint";
  ExecuteWait(DecideWithoutEndpoint(pick, DescribeWait(), RandomPoint()),
              pick.all_leave ? "endpoints_leave" : pause_reason,
              "tarragon_gateway_endpoint_waits_total");
}

bool request_handler::IsListCurrent() const {
  // Readers of the store confirm the list every 2.1 s, followers more often.
  constexpr std::chrono::milliseconds kMaxAge{2600};
  return !gateway_.endpoint_list_age ||
         gateway_.endpoint_list_age().value_or(duration::max()) <= kMaxAge;
}

routing::waiting_request request_handler::DescribeWait() const {
  routing::waiting_request wait{.age = Age(),
                                .latency_objective = admitted_.route->latency_objective,
                                .remaining = RemainingTime(),
                                .is_long = gateway_.picker.IsLongOutput(admitted_.size)};
  if (const std::optional<time_point> last_arrival = stream_.last_arrival()) {
    wait.pause = gateway_.time.Now() - *last_arrival;
  }
  return wait;
}

void request_handler::WaitForCapacity() {
  contention_.OnNoCapacity();
  ExecuteWait(DecideWithoutCapacity(DescribeWait(), RandomPoint()), "overload",
              "tarragon_gateway_capacity_waits_total");
}

void request_handler::WaitForRoom(duration time_to_room) {
  contention_.OnNoRoom(gateway_.time.Now());
  ExecuteWait(DecideWithoutRoom(DescribeWait(), time_to_room, RandomPoint()), "endpoint_limit",
              "tarragon_gateway_limit_waits_total");
}

void request_handler::ExecuteWait(const routing::overload_decision& decision,
                                  std::string_view reason,
                                  const char* waits_counter) {
  struct visitor {
    request_handler& handler;
    std::string_view reason;
    const char* waits_counter;

    void operator()(routing::wait_for_capacity wait) const {
      if (!std::exchange(handler.waited_, true)) {
        handler.gateway_.counters.Counter(waits_counter).Add();
      }
      handler.SetWaiting(true);
      handler.DispatchAfter(wait.delay);
    }
    void operator()(routing::refuse_for_overload refusal) const {
      handler.FailRequest(reason, kBadGateway, refusal.retry_after);
    }
  };
  std::visit(visitor{*this, reason, waits_counter}, decision);
}

void request_handler::SetWaiting(bool is_waiting) {
  if (std::exchange(is_waiting_, is_waiting) != is_waiting) {
    std::size_t& count = gateway_.waiting_requests[admitted_.service_name];
    count = is_waiting ? count + 1 : count - 1;
  }
}

double request_handler::CountContenders() const {
  if (!waited_ && sends_ == 0) {
    const routing::send_budget& budget = gateway_.Budget(admitted_.service_name);
    return routing::CountArrivingContenders(gateway_.daemons,
                                            budget.RequestsPerSecond(gateway_.time.Now()));
  }
  const auto waiting = gateway_.waiting_requests.find(admitted_.service_name);
  const std::size_t own = waiting == gateway_.waiting_requests.end() ? 0 : waiting->second;
  return routing::CountWaitingContenders(gateway_.daemons, own);
}

double request_handler::RandomPoint() const {
  return std::uniform_real_distribution<>(0, 1)(gateway_.random);
}

void request_handler::OnEndpointLeaving(const routing::endpoint& endpoint) {
  if (!finished_ && exchange_) {
    copies_->OnEndpointLeaving(endpoint);
  }
}

void request_handler::OnCallerGone() {
  writer_ = nullptr;
  if (!finished_) {
    Finish("caller_gone");
  }
}

void request_handler::EndForProcessExit() {
  if (!finished_) {
    FailRequest("process_ends", kGatewayTimeout);
  }
}

void request_handler::Finish(std::string_view outcome) {
  TARRAGON_INVARIANT(!finished_, "the request has already been finished");
  finished_ = true;
  // Tells an engine that has fallen silent from one that is only slow.
  const auto silence =
      sends_ > 0
          ? std::chrono::floor<std::chrono::milliseconds>(gateway_.time.Now() - last_progress_at_)
          : std::chrono::milliseconds(0);
  SetWaiting(false);
  if (copies_) {
    copies_->Release();
  }
  CloseExchange();
  DropResponseBody();
  reservation_.Release();
  timer_.cancel();
  writer_ = nullptr;
  gateway_.open_requests.erase(this);
  const time_point now = gateway_.time.Now();
  gateway_.counters
      .Counter("tarragon_gateway_requests_total", fmt::format("outcome=\"{}\"", outcome))
      .Add();
  gateway_.counters.Latency("tarragon_gateway_request_seconds").Record(now - request_.received);
  gateway_.log.LogRequest(
      "request_finished",
      {{"request", id_},
       {"route", admitted_.route != nullptr ? admitted_.route->name : std::string("-")},
       {"outcome", outcome},
       {"status", response_head_.status},
       {"endpoint", target_ ? target_->entry.id : std::string("-")},
       {"sends", sends_},
       {"events", stream_.events_sent()},
       {"first_event_ms", first_event_delay_.count()},
       {"silent_ms", silence.count()},
       {"longest_pause_ms",
        std::chrono::duration_cast<std::chrono::milliseconds>(stream_.longest_pause()).count()},
       {"age_ms", Age().count()}});
  if (gateway_.on_work_done) {
    gateway_.on_work_done();
  }
}

void request_handler::CloseExchange() {
  if (std::exchange(has_begun_at_target_, false)) {
    target_->silence.OnStreamEnded();
  }
  if (exchange_) {
    exchange_->Cancel();
    exchange_.reset();
  }
}

std::chrono::milliseconds request_handler::RemainingTime() const {
  return std::max(std::chrono::milliseconds(0), std::chrono::floor<std::chrono::milliseconds>(
                                                    admitted_.deadline - gateway_.time.Now()));
}

std::chrono::milliseconds request_handler::Age() const {
  return std::chrono::floor<std::chrono::milliseconds>(gateway_.time.Now() - request_.received);
}

void request_handler::ArmTimer() {
  if (finished_) {
    return;
  }
  const time_point now = gateway_.time.Now();
  time_point next = admitted_.deadline;
  // A limit that has passed is looked at again once the endpoint is no longer sound, and after the
  // recheck interval.
  if (const auto limit = SilenceDeadline()) {
    const time_point look = *limit > now ? *limit : SoundUntil();
    next = look > now ? std::min(next, look) : next;
  }
  const duration wait = std::max<duration>(next - now, std::chrono::milliseconds(1));
  // The silence deadline of a later send may be earlier than that of the current send.
  const duration recheck =
      std::max<duration>(admitted_.route->latency_objective, kStreamSilence / 4);
  timer_.expires_after(std::min(wait, recheck));
  timer_.async_wait([self = shared_from_this()](const asio::error_code& error) {
    if (!error) {
      self->OnTimer();
    }
  });
}

void request_handler::OnTimer() {
  if (finished_) {
    return;
  }
  const time_point now = gateway_.time.Now();
  if (now >= admitted_.deadline) {
    FailRequest("deadline", kGatewayTimeout);
    return;
  }
  if (const auto limit = SilenceDeadline(); limit && now >= *limit && CanMoveElsewhere()) {
    HandleSendFailure(routing::send_failure::kSilent, run_verdict::kMayHaveRun);
  }
  ArmTimer();
}

}  // namespace tarragon::gateway
