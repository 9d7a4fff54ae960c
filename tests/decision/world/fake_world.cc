#include "decision/world/fake_world.h"

#include <fmt/format.h>

#include <algorithm>
#include <type_traits>
#include <utility>
#include <variant>

#include "tarragon/document/operating_document.h"

namespace tarragon::decision {

namespace {

using std::chrono::milliseconds;

constexpr std::size_t kModelEndpoints = 4;
constexpr std::size_t kPlainEndpoints = 2;
constexpr std::uint32_t kSlots = 8;
constexpr milliseconds kTickInterval{50};
constexpr milliseconds kReportInterval{250};
constexpr milliseconds kGossipInterval{1000};
constexpr milliseconds kNetworkDelay{2};
constexpr milliseconds kTokenInterval{10};
constexpr milliseconds kSilenceTimeout{2000};
// Promise 5 of the design: an entry sends no new work to an endpoint that has been leaving for
// longer than this.
constexpr milliseconds kLeavingTimeout{3000};
// All faults end within 30 s; a request that is still open after this time is stuck.
constexpr std::chrono::minutes kRunTimeLimit{5};

const char* ClassName(request_profile profile) {
  static constexpr const char* kNames[] = {"hold", "restart", "end", "urgent", "read", "read"};
  return kNames[static_cast<std::size_t>(profile)];
}

document::document_contents BaseContents() {
  document::document_contents contents;
  contents.models = {{.name = "m", .version = "1", .adapters = {}}};
  for (int i = 0; i < 3; ++i) {
    contents.accounts.push_back(
        {.name = fmt::format("account-{}", i), .weight = 1.0 + i, .token_sha256 = {}});
  }
  using enum document::loss_policy;
  contents.classes = {{.name = "hold", .priority = 2, .on_loss = kHold},
                      {.name = "restart", .priority = 1, .on_loss = kRestart},
                      {.name = "end", .priority = 1, .on_loss = kEnd},
                      {.name = "urgent", .on_loss = kRestart, .urgent = true},
                      {.name = "read", .on_loss = kEnd, .urgent = true}};
  document::service_settings drafter;
  drafter.name = "drafter";
  drafter.model = "m";
  drafter.default_class = "restart";
  document::service_settings booking;
  booking.name = "booking";
  booking.kind = document::service_kind::kPlain;
  booking.default_class = "read";
  contents.services = {drafter, booking};
  return contents;
}

}  // namespace

fake_world::fake_world(world_script script, engine_options options)
    : script_(std::move(script)), options_(std::move(options)), random_(script_.seed) {
  now_ = time_point(std::chrono::hours(1));
  faults_end_ = now_;
  for (std::size_t i = 0; i < kModelEndpoints + kPlainEndpoints; ++i) {
    endpoint_fake endpoint;
    endpoint.plain = i >= kModelEndpoints;
    endpoint.name = fmt::format("{}{}", endpoint.plain ? "plain-" : "model-", i);
    endpoints_.push_back(std::move(endpoint));
  }
  entries_.resize(script_.entries);
  for (std::size_t i = 0; i < entries_.size(); ++i) {
    StartEntry(i);
  }
  PublishDocument();
  for (std::size_t i = 0; i < script_.requests.size(); ++i) {
    ++pending_arrivals_;
    ScheduleAfter(script_.requests[i].start + milliseconds(10), [this, i] { StartRequest(i); });
  }
  for (const planned_fault& fault : script_.faults) {
    faults_end_ = std::max(faults_end_, now_ + fault.start + fault.duration);
    ScheduleAfter(fault.start, [this, &fault] { InjectFault(fault); });
  }
}

void fake_world::Run() {
  Gossip();
  ReportLoads();
  const time_point time_limit = now_ + kRunTimeLimit;
  while (!IsQuiescent()) {
    if (now_ > time_limit) {
      oracle_.AddViolation(
          "requests are still open at the run time limit, long after the last fault");
      return;
    }
    scheduled_task next = schedule_.top();
    schedule_.pop();
    now_ = next.at;
    next.run();
  }
}

bool fake_world::IsQuiescent() const {
  return now_ > faults_end_ && pending_arrivals_ == 0 &&
         std::ranges::all_of(
             entries_, [](const auto& entry) { return entry.engine->OpenRequestCount() == 0; });
}

void fake_world::ScheduleAfter(milliseconds delay, std::function<void()> run) {
  schedule_.push({now_ + delay, ++sequence_, std::move(run)});
}

std::int64_t fake_world::RandomBetween(std::int64_t low, std::int64_t high) {
  return std::uniform_int_distribution<std::int64_t>(low, high)(random_);
}

void fake_world::StartEntry(std::size_t entry) {
  entry_process& process = entries_[entry];
  process.counters = std::make_unique<metrics>();
  process.engine = std::make_unique<request_engine>(options_, random_(), *process.counters);
  process.incarnation = ++last_incarnation_;
  process.draining = false;
  if (document_ != nullptr) {
    // An entry becomes ready, and gets its first callers, only after it has a document.
    Handle(entry, document_changed{document_});
    Handle(entry, MakeVmList());
  }
  ScheduleAfter(kTickInterval, [this, entry, incarnation = process.incarnation] {
    if (entries_[entry].incarnation == incarnation) {
      Tick(entry);
    }
  });
}

void fake_world::Tick(std::size_t entry) {
  const std::uint64_t incarnation = entries_[entry].incarnation;
  Handle(entry, tick{});
  if (entries_[entry].draining && entries_[entry].engine->OpenRequestCount() == 0) {
    RestartEntry(entry);
    return;
  }
  ScheduleAfter(kTickInterval, [this, entry, incarnation] {
    if (entries_[entry].incarnation == incarnation) {
      Tick(entry);
    }
  });
}

void fake_world::Gossip() {
  for (std::size_t from = 0; now_ >= gossip_lost_until_ && from < entries_.size(); ++from) {
    const peer_state state = entries_[from].engine->LocalState(now_);
    for (std::size_t to = 0; to < entries_.size(); ++to) {
      if (to != from) {
        Handle(to, peer_state_received{fmt::format("vm-{}", from), state});
      }
    }
  }
  ScheduleAfter(kGossipInterval, [this] { Gossip(); });
}

void fake_world::ReportLoads() {
  for (const endpoint_fake& endpoint : endpoints_) {
    if (!endpoint.alive || now_ < endpoint.frozen_until || now_ < endpoint.unreachable_until) {
      continue;
    }
    load_reported report;
    report.endpoint = endpoint.name;
    report.age = milliseconds(RandomBetween(0, 1000));
    report.running = endpoint.RunningCount();
    report.slots = kSlots;
    report.memory_tokens_total = endpoint.plain ? 0 : 4000;
    report.leaving = endpoint.leaving_since.has_value();
    for (std::size_t entry = 0; entry < entries_.size(); ++entry) {
      ScheduleAfter(report.age, [this, entry, report] { Handle(entry, report); });
    }
  }
  ScheduleAfter(kReportInterval, [this] { ReportLoads(); });
}

void fake_world::PublishDocument() {
  document::document_contents contents = BaseContents();
  for (const endpoint_fake& endpoint : endpoints_) {
    if (!endpoint.removed) {
      contents.endpoints.push_back({.name = endpoint.name,
                                    .address = "127.0.0.1:1",
                                    .service = endpoint.plain ? "booking" : "drafter",
                                    .failure_domain = "a"});
    }
  }
  document_ =
      document::operating_document::MakeForTesting(++document_version_, std::move(contents));
  for (std::size_t entry = 0; entry < entries_.size(); ++entry) {
    ScheduleAfter(
        milliseconds(document_version_ == 1 ? 0 : RandomBetween(0, 1000)),
        [this, entry, document = document_] { Handle(entry, document_changed{document}); });
  }
}

void fake_world::Handle(std::size_t entry, const event& input) {
  ++events_;
  std::vector<action> actions;
  entries_[entry].engine->HandleEvent(now_, input, actions);
  entries_[entry].engine->Validate();
  for (const action& next : actions) {
    std::visit([&](const auto& one) { Apply(entry, one); }, next);
  }
}

void fake_world::DeliverToEntry(const connection_ptr& link, event input) {
  const auto deliver = [this, link, input = std::move(input)] {
    if (entries_[link->entry].incarnation == link->entry_incarnation) {
      Handle(link->entry, input);
    }
  };
  milliseconds delay = kNetworkDelay;
  if (now_ < entries_[link->entry].unreliable_until) {
    const std::int64_t kind = RandomBetween(0, 9);
    if (kind == 0) {
      return;
    }
    if (kind == 1) {
      ScheduleAfter(delay + milliseconds(RandomBetween(0, 3000)), deliver);
    } else if (kind <= 3) {
      delay += milliseconds(RandomBetween(0, 200));
    }
  }
  ScheduleAfter(delay, deliver);
}

void fake_world::BreakConnection(const connection_ptr& link,
                                 run_verdict verdict,
                                 failure_cause cause) {
  if (std::exchange(link->open, false)) {
    connections_.erase({link->entry_incarnation, link->attempt});
    DeliverToEntry(link, attempt_failed{link->attempt, verdict, cause});
  }
}

void fake_world::StartRequest(std::size_t plan_index) {
  --pending_arrivals_;
  const planned_request& plan = script_.requests[plan_index];
  caller_fake caller(plan, plan_index, fmt::format("account-{}/key-{}", plan.account, plan.key),
                     oracle_);
  const request_properties properties = MakeRequestProperties(caller);
  const std::size_t entry = PickEntry(random_());
  callers_.emplace(properties.request, caller);
  entry_of_[properties.request] = entry;
  if (plan.disconnects_after.count() > 0) {
    ScheduleAfter(plan.disconnects_after,
                  [this, id = properties.request] { DisconnectCaller(id); });
  }
  Handle(entry, request_arrived{properties});
}

request_properties fake_world::MakeRequestProperties(const caller_fake& caller) {
  const planned_request& plan = caller.plan();
  request_properties properties;
  properties.request = {++last_request_};
  properties.kind = plan.profile < request_profile::kRead ? request_kind::kGeneration
                                                          : request_kind::kServiceCall;
  properties.account = fmt::format("account-{}", plan.account);
  properties.service = plan.profile < request_profile::kRead ? "drafter" : "booking";
  properties.request_class = ClassName(plan.profile);
  properties.prompt_tokens = 10;
  properties.request_fingerprint = {plan.crashes_endpoint ? 1 + plan.key : 1000 + caller.number()};
  properties.deadline = now_ + plan.deadline;
  properties.buffered_response = plan.buffered_response;
  properties.repeatable = plan.profile != request_profile::kUnrepeatable;
  properties.idempotency_key = properties.repeatable ? "" : fmt::format("key-{}", plan.key);
  return properties;
}

std::size_t fake_world::PickEntry(std::uint64_t preferred) const {
  for (std::size_t i = 0; i < entries_.size(); ++i) {
    const std::size_t entry = (preferred + i) % entries_.size();
    if (!entries_[entry].draining) {
      return entry;
    }
  }
  return preferred % entries_.size();
}

void fake_world::DisconnectCaller(request_id id) {
  caller_fake& caller = callers_.at(id);
  if (caller.finished() || !caller.connected()) {
    return;
  }
  caller.Disconnect();
  const std::size_t entry = entry_of_[id];
  ScheduleAfter(milliseconds(RandomBetween(0, 50)),
                [this, entry, id, incarnation = entries_[entry].incarnation] {
                  if (entries_[entry].incarnation == incarnation) {
                    Handle(entry, caller_disconnected{id});
                  }
                });
  const planned_request& plan = caller.plan();
  if (plan.reconnects_after.count() > 0) {
    ScheduleReconnect(caller, plan.reconnects_after);
    if (plan.reconnects_twice) {
      ScheduleReconnect(caller, plan.reconnects_after + milliseconds(RandomBetween(0, 20)));
    }
  }
}

void fake_world::ScheduleReconnect(const caller_fake& caller, milliseconds delay) {
  if (caller.plan().profile < request_profile::kRead && caller.has_ticket()) {
    ++pending_arrivals_;
    ScheduleAfter(delay, [this, next = caller.MakeReconnected()] { Reconnect(next); });
  }
}

void fake_world::Reconnect(const caller_fake& caller) {
  --pending_arrivals_;
  const request_properties properties = MakeRequestProperties(caller);
  const std::size_t entry = PickEntry(random_());
  callers_.emplace(properties.request, caller);
  entry_of_[properties.request] = entry;
  Handle(entry,
         resume_arrived{properties, caller.endpoint(), caller.generation(), caller.next_index()});
}

void fake_world::InjectFault(const planned_fault& fault) {
  const std::size_t endpoint = fault.target % endpoints_.size();
  const std::size_t entry = fault.target % entries_.size();
  const time_point until = now_ + fault.duration;
  switch (fault.kind) {
    case fault_kind::kEndpointCrashes:
      CrashEndpoint(endpoint, fault.duration);
      break;
    case fault_kind::kEndpointFreezes:
      endpoints_[endpoint].frozen_until = std::max(endpoints_[endpoint].frozen_until, until);
      break;
    case fault_kind::kConnectionsFallSilent:
      for (const auto& [key, link] : connections_) {
        link->silent = link->silent || link->endpoint == endpoint;
      }
      break;
    case fault_kind::kEndpointUnreachable:
      endpoints_[endpoint].unreachable_until = until;
      for (const auto& [key, link] : connections_) {
        link->silent = link->silent || link->endpoint == endpoint;
      }
      break;
    case fault_kind::kEndpointLeaves:
    case fault_kind::kEndpointRemoved:
      if (endpoint != 0 && endpoint != kModelEndpoints && !endpoints_[endpoint].leaving_since) {
        endpoints_[endpoint].removed = fault.kind == fault_kind::kEndpointRemoved;
        SetLeaving(endpoint, true);
        ScheduleAfter(fault.duration, [this, endpoint] { SetLeaving(endpoint, false); });
      }
      break;
    case fault_kind::kEndpointDeclines:
      endpoints_[endpoint].declines_until = until;
      break;
    case fault_kind::kEndpointSlow:
      endpoints_[endpoint].slow_until = until;
      break;
    case fault_kind::kPlatformOutage:
      outage_until_ = until;
      break;
    case fault_kind::kPlatformLosesResponses:
      responses_lost_until_ = until;
      break;
    case fault_kind::kEntryCrashes:
      RestartEntry(entry);
      break;
    case fault_kind::kEntryDrains:
      entries_[entry].draining = true;
      Handle(entry, drain_started{});
      break;
    case fault_kind::kEventsUnreliable:
      entries_[entry].unreliable_until = until;
      break;
    case fault_kind::kGossipLost:
      gossip_lost_until_ = until;
      break;
    case fault_kind::kCount:
      break;
  }
}

void fake_world::CrashEndpoint(std::size_t index, milliseconds downtime) {
  endpoint_fake& endpoint = endpoints_[index];
  if (!endpoint.alive) {
    return;
  }
  endpoint.alive = false;
  ++endpoint.incarnation;
  endpoint.generations.clear();
  endpoint.frozen_until = now_;
  const auto links = connections_;
  for (const auto& [key, link] : links) {
    if (link->endpoint == index && !link->silent) {
      BreakConnection(link, run_verdict::kMayHaveRun, failure_cause::kConnectionLost);
    }
  }
  ScheduleAfter(downtime, [this, index] { endpoints_[index].alive = true; });
}

void fake_world::RestartEntry(std::size_t entry) {
  std::erase_if(connections_, [&](const auto& item) {
    const bool ours = item.second->entry_incarnation == entries_[entry].incarnation;
    item.second->open = item.second->open && !ours;
    return ours;
  });
  std::vector<caller_fake> disconnected;
  for (auto& [id, caller] : callers_) {
    if (entry_of_[id] == entry && caller.connected() && !caller.finished()) {
      caller.Disconnect();
      disconnected.push_back(caller);
    }
  }
  for (const caller_fake& caller : disconnected) {
    ScheduleReconnect(caller, milliseconds(RandomBetween(50, 5000)));
  }
  StartEntry(entry);
}

void fake_world::SetLeaving(std::size_t index, bool leaving) {
  endpoints_[index].leaving_since = leaving ? std::optional(now_) : std::nullopt;
  if (std::exchange(endpoints_[index].removed, endpoints_[index].removed && leaving)) {
    PublishDocument();
  }
  for (std::size_t entry = 0; entry < entries_.size(); ++entry) {
    ScheduleAfter(milliseconds(RandomBetween(0, 1500)),
                  [this, entry] { Handle(entry, MakeVmList()); });
  }
}

vm_list_changed fake_world::MakeVmList() const {
  vm_list_changed list;
  for (const endpoint_fake& endpoint : endpoints_) {
    if (endpoint.leaving_since && !endpoint.removed) {
      list.leaving.push_back(endpoint.name);
    }
  }
  return list;
}

void fake_world::Apply(std::size_t entry, const send_attempt& command) {
  const connection_ptr link =
      Connect(entry, command.request, command.attempt, command.endpoint, command.generation);
  const auto& leaving = endpoints_[link->endpoint].leaving_since;
  if (leaving && now_ - *leaving > kLeavingTimeout) {
    oracle_.AddViolation(
        fmt::format("new work sent to {} {} ms after it began to leave", command.endpoint,
                    std::chrono::duration_cast<milliseconds>(now_ - *leaving).count()));
  }
  const std::uint64_t caller = callers_.at(command.request).number();
  ScheduleAfter(kNetworkDelay, [this, link, caller] {
    if (!IsReachable(*link)) {
      BreakConnection(link, run_verdict::kNotRun, failure_cause::kConnectFailed);
      return;
    }
    RunAtEndpoint(link->endpoint, [this, link, caller] {
      if (endpoints_[link->endpoint].plain) {
        HandleCall(link, caller);
      } else {
        HandleGeneration(link, caller);
      }
    });
  });
}

void fake_world::Apply(std::size_t entry, const resume_attempt& command) {
  const connection_ptr link =
      Connect(entry, command.request, command.attempt, command.endpoint, command.generation);
  link->next_index = command.from_index;
  ScheduleAfter(kNetworkDelay, [this, link] {
    if (!IsReachable(*link)) {
      BreakConnection(link, run_verdict::kNotRun, failure_cause::kConnectFailed);
      return;
    }
    RunAtEndpoint(link->endpoint, [this, link] { HandleResume(link); });
  });
}

void fake_world::Apply(std::size_t entry, const cancel_attempt& command) {
  connection_ptr link = FindConnection(entry, command.attempt);
  if (link == nullptr) {
    link = Connect(entry, {}, command.attempt, command.endpoint, command.generation);
  }
  link->open = false;
  connections_.erase({link->entry_incarnation, link->attempt});
  ScheduleAfter(kNetworkDelay, [this, link] {
    if (!IsReachable(*link)) {
      return;
    }
    RunAtEndpoint(link->endpoint, [this, link] {
      auto& generations = endpoints_[link->endpoint].generations;
      const auto found = generations.find(link->generation);
      const bool stopped = found != generations.end() && !found->second.done();
      if (stopped) {
        CheckNoReaderRemains(link->generation);
        found->second.cancelled = true;
        const auto links = connections_;
        for (const auto& [key, other] : links) {
          SendTokens(other);
        }
      }
      DeliverToEntry(link, cancel_observed{link->attempt, stopped});
    });
  });
}

void fake_world::CheckNoReaderRemains(const generation_id& generation) {
  // Without gossip an entry cannot know that its caller has reconnected to another entry.
  if (now_ < gossip_lost_until_ + 2 * kGossipInterval) {
    return;
  }
  for (const auto& [id, caller] : callers_) {
    if (caller.connected() && !caller.finished() && caller.generation() == generation) {
      oracle_.AddViolation(fmt::format(
          "caller {}: its generation was cancelled while it was connected", caller.number()));
    }
  }
}

void fake_world::CheckNoDuplicateGeneration(const connection& link) {
  // Reachability is checked as of the time the entry sent the attempt: a frozen endpoint may accept
  // the request only long after the endpoint of the earlier generation became reachable again.
  const auto was_reachable = [&link](const endpoint_fake& endpoint) {
    return !endpoint.removed && link.sent_at >= endpoint.unreachable_until + 4 * kLeavingTimeout;
  };
  for (const endpoint_fake& endpoint : endpoints_) {
    // An entry may start a second generation if an endpoint is unreachable, but not if it is
    // silent.
    if (!was_reachable(endpoint) || !was_reachable(endpoints_[link.endpoint])) {
      continue;
    }
    for (const auto& [id, state] : endpoint.generations) {
      if (state.request == link.request && !state.done()) {
        oracle_.AddViolation(fmt::format("request {}: second generation started while {} runs",
                                         link.request.value, id));
      }
    }
  }
}

void fake_world::Apply(std::size_t entry, const close_attempt& command) {
  if (const connection_ptr link = FindConnection(entry, command.attempt)) {
    link->open = false;
    connections_.erase({link->entry_incarnation, link->attempt});
  }
}

void fake_world::Apply(std::size_t entry, const write_claim& command) {
  const bool outage = now_ < outage_until_;
  const bool lost = now_ < responses_lost_until_;
  claim_tokens_[command.request] = command.claim_token;
  ScheduleAfter(milliseconds(RandomBetween(1, outage ? 3000 : 20)),
                [this, entry, command, outage, lost, incarnation = entries_[entry].incarnation] {
                  claim_answered answer{command.request, claim_state::kUnavailable, 0, {}};
                  const bool unknown = (outage || lost) && RandomBetween(0, 2) == 0;
                  if (!outage || (unknown && RandomBetween(0, 1) == 0)) {
                    answer = claims_.Write(command);
                  }
                  if (unknown) {
                    answer = {command.request, claim_state::kUnknown, 0, {}};
                  }
                  if (entries_[entry].incarnation == incarnation) {
                    Handle(entry, answer);
                    if (RandomBetween(0, 9) == 0 && entries_[entry].incarnation == incarnation) {
                      Handle(entry, answer);
                    }
                  }
                });
}

void fake_world::Apply(std::size_t, const complete_claim& command) {
  ScheduleAfterOutage([this, command] { claims_.Complete(command); });
}

void fake_world::Apply(std::size_t, const release_claim& command) {
  oracle_.RecordClaimRelease(command.account + "/" + command.key, command.claim_token);
  ScheduleAfterOutage([this, command] { claims_.Release(command); });
}

void fake_world::ScheduleAfterOutage(std::function<void()> run) {
  ScheduleAfter(std::chrono::ceil<milliseconds>(std::max(outage_until_ - now_, duration::zero())),
                std::move(run));
}

template <typename caller_action>
void fake_world::Apply(std::size_t, const caller_action& command) {
  callers_.at(command.request).OnAction(command);
  if constexpr (std::is_same_v<caller_action, finish_request>) {
    completed_ += command.reason == finish_reason::kCompleted ? 1 : 0;
  }
}

fake_world::connection_ptr fake_world::Connect(std::size_t entry,
                                               request_id request,
                                               attempt_id attempt,
                                               const endpoint_name& endpoint,
                                               const generation_id& generation) {
  auto link = std::make_shared<connection>();
  link->entry = entry;
  link->entry_incarnation = entries_[entry].incarnation;
  link->attempt = attempt;
  link->request = request;
  link->endpoint = IndexOf(endpoint);
  link->generation = generation;
  link->last_byte_at = now_;
  link->sent_at = now_;
  connections_[{link->entry_incarnation, attempt}] = link;
  ScheduleAfter(kSilenceTimeout, [this, link] { DetectSilence(link); });
  return link;
}

fake_world::connection_ptr fake_world::FindConnection(std::size_t entry, attempt_id attempt) const {
  const auto found = connections_.find({entries_[entry].incarnation, attempt});
  return found == connections_.end() ? nullptr : found->second;
}

std::size_t fake_world::IndexOf(const endpoint_name& name) const {
  return static_cast<std::size_t>(std::ranges::find(endpoints_, name, &endpoint_fake::name) -
                                  endpoints_.begin());
}

bool fake_world::IsReachable(const connection& link) const {
  const endpoint_fake& endpoint = endpoints_[link.endpoint];
  return endpoint.alive && now_ >= endpoint.unreachable_until;
}

void fake_world::RunAtEndpoint(std::size_t index, std::function<void()> run) {
  const endpoint_fake& endpoint = endpoints_[index];
  if (now_ < endpoint.frozen_until) {
    const auto wait = std::chrono::ceil<milliseconds>(endpoint.frozen_until - now_);
    ScheduleAfter(wait, [this, index, run = std::move(run), incarnation = endpoint.incarnation] {
      if (endpoints_[index].incarnation == incarnation) {
        RunAtEndpoint(index, run);
      }
    });
    return;
  }
  run();
}

bool fake_world::DeclineIfUnavailable(const connection_ptr& link) {
  const endpoint_fake& endpoint = endpoints_[link->endpoint];
  link->response_sent = now_ < endpoint.declines_until || endpoint.RunningCount() >= kSlots;
  if (link->response_sent) {
    DeliverToEntry(link, attempt_declined{link->attempt, milliseconds(50), false, "full"});
  }
  return link->response_sent;
}

void fake_world::HandleGeneration(const connection_ptr& link, std::uint64_t caller) {
  endpoint_fake& endpoint = endpoints_[link->endpoint];
  if (DeclineIfUnavailable(link)) {
    return;
  }
  const planned_request& plan = script_.requests[caller];
  CheckNoDuplicateGeneration(*link);
  endpoint.generations[link->generation] = {link->request, caller, 0, plan.tokens, false};
  oracle_.RecordGeneration(caller, link->generation, plan.tokens);
  link->accepted = true;
  DeliverToEntry(link, attempt_accepted{link->attempt});
  if (plan.crashes_endpoint) {
    ScheduleAfter(milliseconds(RandomBetween(0, 30)),
                  [this, index = link->endpoint] { CrashEndpoint(index, milliseconds(1000)); });
  }
  ProduceTokens(link->endpoint, link->generation, endpoint.incarnation);
}

void fake_world::HandleCall(const connection_ptr& link, std::uint64_t caller) {
  endpoint_fake& endpoint = endpoints_[link->endpoint];
  if (DeclineIfUnavailable(link)) {
    return;
  }
  const caller_fake& requester = callers_.at(link->request);
  const bool repeatable = requester.plan().profile != request_profile::kUnrepeatable;
  oracle_.RecordCall(caller, requester.key(), repeatable);
  if (!repeatable) {
    oracle_.RecordClaimRun(claim_tokens_[link->request]);
  }
  link->accepted = true;
  const std::string body = repeatable ? fmt::format("caller {}", caller) : requester.key();
  const std::int64_t slowness = now_ < endpoint.slow_until ? 20 : 1;
  ScheduleAfter(
      milliseconds(RandomBetween(1, 20) * slowness),
      [this, link, body, incarnation = endpoint.incarnation] {
        if (endpoints_[link->endpoint].incarnation == incarnation && link->open && !link->silent) {
          link->response_sent = true;
          DeliverToEntry(link, response_received{link->attempt, 200, "text/plain", body});
        }
      });
}

void fake_world::HandleResume(const connection_ptr& link) {
  const auto& generations = endpoints_[link->endpoint].generations;
  if (!generations.contains(link->generation)) {
    BreakConnection(link, run_verdict::kNotRun, failure_cause::kGenerationUnknown);
    return;
  }
  link->accepted = true;
  DeliverToEntry(link, attempt_accepted{link->attempt});
  SendTokens(link);
}

void fake_world::ProduceTokens(std::size_t index,
                               const generation_id& generation,
                               std::uint64_t incarnation) {
  endpoint_fake& endpoint = endpoints_[index];
  if (endpoint.incarnation != incarnation) {
    return;
  }
  auto& state = endpoint.generations.at(generation);
  const auto links = connections_;
  for (const auto& [key, link] : links) {
    if (link->endpoint == index && link->generation == generation) {
      SendTokens(link);
    }
  }
  if (state.done()) {
    return;
  }
  const int slowness = now_ < endpoint.slow_until ? 5 : 1;
  ScheduleAfter(kTokenInterval * slowness, [this, index, generation, incarnation] {
    RunAtEndpoint(index, [this, index, generation, incarnation] {
      if (endpoints_[index].incarnation == incarnation) {
        auto& next = endpoints_[index].generations.at(generation);
        next.produced += next.done() ? 0 : 1;
        ProduceTokens(index, generation, incarnation);
      }
    });
  });
}

void fake_world::SendTokens(const connection_ptr& link) {
  const endpoint_fake& endpoint = endpoints_[link->endpoint];
  const auto found = endpoint.generations.find(link->generation);
  if (!link->open || link->silent || !link->accepted || link->response_sent ||
      found == endpoint.generations.end()) {
    return;
  }
  link->last_byte_at = now_;
  for (; link->next_index < found->second.produced; ++link->next_index) {
    DeliverToEntry(link,
                   token_received{link->attempt, link->generation, link->next_index,
                                  caller_fake::TokenText(link->generation, link->next_index)});
  }
  if (found->second.done()) {
    link->response_sent = true;
    DeliverToEntry(
        link,
        attempt_finished{link->attempt, found->second.produced,
                         found->second.cancelled ? std::string(kCancelledFinishReason) : "stop"});
  }
}

void fake_world::DetectSilence(const connection_ptr& link) {
  if (!link->open || link->response_sent) {
    return;
  }
  const endpoint_fake& endpoint = endpoints_[link->endpoint];
  if (link->accepted && !link->silent && endpoint.alive && now_ >= endpoint.frozen_until) {
    link->last_byte_at = now_;
  }
  if (now_ - link->last_byte_at >= kSilenceTimeout) {
    BreakConnection(link, run_verdict::kMayHaveRun, failure_cause::kSilent);
    return;
  }
  ScheduleAfter(milliseconds(500), [this, link] { DetectSilence(link); });
}

}  // namespace tarragon::decision
