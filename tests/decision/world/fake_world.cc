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
constexpr milliseconds kHop{2};
constexpr milliseconds kTokenInterval{10};
constexpr milliseconds kSilenceTimeout{2000};
// Promise 5 of the design.
constexpr milliseconds kLeavingTimeout{3000};
// All faults end within 30 s; whatever is open this long after is stuck.
constexpr std::chrono::minutes kHorizon{5};

const char* ClassOf(caller_wish wish) {
  static constexpr const char* kNames[] = {"hold", "restart", "end", "urgent", "read", "read"};
  return kNames[static_cast<std::size_t>(wish)];
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
    ++unplayed_;
    After(script_.requests[i].at + milliseconds(10), [this, i] { Arrive(i); });
  }
  for (const planned_fault& fault : script_.faults) {
    faults_end_ = std::max(faults_end_, now_ + fault.at + fault.lasts);
    After(fault.at, [this, &fault] { Play(fault); });
  }
}

void fake_world::Run() {
  Gossip();
  ReportLoads();
  const time_point horizon = now_ + kHorizon;
  while (!Quiet()) {
    if (now_ > horizon) {
      truth_.Violate("requests are still open long after the last fault");
      return;
    }
    scheduled next = schedule_.top();
    schedule_.pop();
    now_ = next.at;
    next.run();
  }
}

bool fake_world::Quiet() const {
  return now_ > faults_end_ && unplayed_ == 0 &&
         std::ranges::all_of(entries_,
                             [](const auto& entry) { return entry.engine->OpenRequests() == 0; });
}

void fake_world::After(milliseconds delay, std::function<void()> run) {
  schedule_.push({now_ + delay, ++sequence_, std::move(run)});
}

std::int64_t fake_world::Between(std::int64_t low, std::int64_t high) {
  return std::uniform_int_distribution<std::int64_t>(low, high)(random_);
}

void fake_world::StartEntry(std::size_t entry) {
  entry_process& process = entries_[entry];
  process.counters = std::make_unique<metrics>();
  process.engine = std::make_unique<request_engine>(options_, random_(), *process.counters);
  process.life = ++last_life_;
  process.draining = false;
  if (document_ != nullptr) {
    // An entry is ready once it has a document, and gets no callers before.
    Handle(entry, document_changed{document_});
    Handle(entry, LeavingList());
  }
  After(kTickInterval, [this, entry, life = process.life] {
    if (entries_[entry].life == life) {
      Tick(entry);
    }
  });
}

void fake_world::Tick(std::size_t entry) {
  const std::uint64_t life = entries_[entry].life;
  Handle(entry, tick{});
  if (entries_[entry].draining && entries_[entry].engine->OpenRequests() == 0) {
    KillEntry(entry);
    return;
  }
  After(kTickInterval, [this, entry, life] {
    if (entries_[entry].life == life) {
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
  After(kGossipInterval, [this] { Gossip(); });
}

void fake_world::ReportLoads() {
  for (const endpoint_fake& endpoint : endpoints_) {
    if (!endpoint.alive || now_ < endpoint.frozen_until || now_ < endpoint.unreachable_until) {
      continue;
    }
    load_reported report;
    report.endpoint = endpoint.name;
    report.age = milliseconds(Between(0, 1000));
    report.running = endpoint.Running();
    report.slots = kSlots;
    report.memory_tokens_total = endpoint.plain ? 0 : 4000;
    report.leaving = endpoint.leaving_since.has_value();
    for (std::size_t entry = 0; entry < entries_.size(); ++entry) {
      After(report.age, [this, entry, report] { Handle(entry, report); });
    }
  }
  After(kReportInterval, [this] { ReportLoads(); });
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
    After(milliseconds(document_version_ == 1 ? 0 : Between(0, 1000)),
          [this, entry, document = document_] { Handle(entry, document_changed{document}); });
  }
}

void fake_world::Handle(std::size_t entry, const event& what) {
  ++events_;
  std::vector<action> actions;
  entries_[entry].engine->Handle(now_, what, actions);
  entries_[entry].engine->Validate();
  for (const action& next : actions) {
    std::visit([&](const auto& one) { Apply(entry, one); }, next);
  }
}

void fake_world::ToEntry(const connection_ptr& link, event what) {
  const auto deliver = [this, link, what = std::move(what)] {
    if (entries_[link->entry].life == link->entry_life) {
      Handle(link->entry, what);
    }
  };
  milliseconds delay = kHop;
  if (now_ < entries_[link->entry].disordered_until) {
    const std::int64_t kind = Between(0, 9);
    if (kind == 0) {
      return;
    }
    if (kind == 1) {
      After(delay + milliseconds(Between(0, 3000)), deliver);
    } else if (kind <= 3) {
      delay += milliseconds(Between(0, 200));
    }
  }
  After(delay, deliver);
}

void fake_world::Break(const connection_ptr& link, run_verdict verdict, failure_cause cause) {
  if (std::exchange(link->open, false)) {
    connections_.erase({link->entry_life, link->attempt});
    ToEntry(link, attempt_failed{link->attempt, verdict, cause});
  }
}

void fake_world::Arrive(std::size_t plan_index) {
  --unplayed_;
  const planned_request& plan = script_.requests[plan_index];
  caller_fake caller(plan, plan_index, fmt::format("account-{}/key-{}", plan.account, plan.key),
                     truth_);
  const request_facts facts = FactsOf(caller);
  const std::size_t entry = PickEntry(random_());
  callers_.emplace(facts.request, caller);
  entry_of_[facts.request] = entry;
  if (plan.leaves_after.count() > 0) {
    After(plan.leaves_after, [this, id = facts.request] { Leave(id); });
  }
  Handle(entry, request_arrived{facts});
}

request_facts fake_world::FactsOf(const caller_fake& caller) {
  const planned_request& plan = caller.plan();
  request_facts facts;
  facts.request = {++last_request_};
  facts.kind =
      plan.wish < caller_wish::kRead ? request_kind::kGeneration : request_kind::kServiceCall;
  facts.account = fmt::format("account-{}", plan.account);
  facts.service = plan.wish < caller_wish::kRead ? "drafter" : "booking";
  facts.request_class = ClassOf(plan.wish);
  facts.prompt_tokens = 10;
  facts.content = {plan.crashes ? 1 + plan.key : 1000 + caller.number()};
  facts.deadline = now_ + plan.deadline;
  facts.whole_answer = plan.whole_answer;
  facts.repeatable = plan.wish != caller_wish::kUnrepeatable;
  facts.idempotency_key = facts.repeatable ? "" : fmt::format("key-{}", plan.key);
  return facts;
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

void fake_world::Leave(request_id id) {
  caller_fake& caller = callers_.at(id);
  if (caller.finished() || !caller.connected()) {
    return;
  }
  caller.Disconnect();
  const std::size_t entry = entry_of_[id];
  After(milliseconds(Between(0, 50)), [this, entry, id, life = entries_[entry].life] {
    if (entries_[entry].life == life) {
      Handle(entry, caller_disconnected{id});
    }
  });
  const planned_request& plan = caller.plan();
  if (plan.returns_after.count() > 0) {
    ReturnLater(caller, plan.returns_after);
    if (plan.returns_twice) {
      ReturnLater(caller, plan.returns_after + milliseconds(Between(0, 20)));
    }
  }
}

void fake_world::ReturnLater(const caller_fake& caller, milliseconds delay) {
  if (caller.plan().wish < caller_wish::kRead && caller.has_ticket()) {
    ++unplayed_;
    After(delay, [this, next = caller.Return()] { ReturnNow(next); });
  }
}

void fake_world::ReturnNow(const caller_fake& caller) {
  --unplayed_;
  const request_facts facts = FactsOf(caller);
  const std::size_t entry = PickEntry(random_());
  callers_.emplace(facts.request, caller);
  entry_of_[facts.request] = entry;
  Handle(entry, resume_arrived{facts, caller.endpoint(), caller.generation(), caller.next_index()});
}

void fake_world::Play(const planned_fault& fault) {
  const std::size_t endpoint = fault.target % endpoints_.size();
  const std::size_t entry = fault.target % entries_.size();
  const time_point until = now_ + fault.lasts;
  switch (fault.kind) {
    case fault_kind::kEndpointDies:
      Kill(endpoint, fault.lasts);
      break;
    case fault_kind::kEndpointFreezes:
      endpoints_[endpoint].frozen_until = std::max(endpoints_[endpoint].frozen_until, until);
      break;
    case fault_kind::kConnectionsSilent:
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
    case fault_kind::kDocumentChanges:
      if (endpoint != 0 && endpoint != kModelEndpoints && !endpoints_[endpoint].leaving_since) {
        endpoints_[endpoint].removed = fault.kind == fault_kind::kDocumentChanges;
        SetLeaving(endpoint, true);
        After(fault.lasts, [this, endpoint] { SetLeaving(endpoint, false); });
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
    case fault_kind::kPlatformLosesAnswers:
      answers_lost_until_ = until;
      break;
    case fault_kind::kEntryDies:
      KillEntry(entry);
      break;
    case fault_kind::kEntryDrains:
      entries_[entry].draining = true;
      Handle(entry, drain_started{});
      break;
    case fault_kind::kEventsDisordered:
      entries_[entry].disordered_until = until;
      break;
    case fault_kind::kGossipLost:
      gossip_lost_until_ = until;
      break;
    case fault_kind::kCount:
      break;
  }
}

void fake_world::Kill(std::size_t index, milliseconds down) {
  endpoint_fake& endpoint = endpoints_[index];
  if (!endpoint.alive) {
    return;
  }
  endpoint.alive = false;
  ++endpoint.life;
  endpoint.generations.clear();
  endpoint.frozen_until = now_;
  const auto links = connections_;
  for (const auto& [key, link] : links) {
    if (link->endpoint == index && !link->silent) {
      Break(link, run_verdict::kMayHaveRun, failure_cause::kConnectionLost);
    }
  }
  After(down, [this, index] { endpoints_[index].alive = true; });
}

void fake_world::KillEntry(std::size_t entry) {
  std::erase_if(connections_, [&](const auto& item) {
    const bool ours = item.second->entry_life == entries_[entry].life;
    item.second->open = item.second->open && !ours;
    return ours;
  });
  std::vector<caller_fake> cut;
  for (auto& [id, caller] : callers_) {
    if (entry_of_[id] == entry && caller.connected() && !caller.finished()) {
      caller.Disconnect();
      cut.push_back(caller);
    }
  }
  for (const caller_fake& caller : cut) {
    ReturnLater(caller, milliseconds(Between(50, 5000)));
  }
  StartEntry(entry);
}

void fake_world::SetLeaving(std::size_t index, bool leaving) {
  endpoints_[index].leaving_since = leaving ? std::optional(now_) : std::nullopt;
  if (std::exchange(endpoints_[index].removed, endpoints_[index].removed && leaving)) {
    PublishDocument();
  }
  for (std::size_t entry = 0; entry < entries_.size(); ++entry) {
    After(milliseconds(Between(0, 1500)), [this, entry] { Handle(entry, LeavingList()); });
  }
}

vm_list_changed fake_world::LeavingList() const {
  vm_list_changed list;
  for (const endpoint_fake& endpoint : endpoints_) {
    if (endpoint.leaving_since && !endpoint.removed) {
      list.leaving.push_back(endpoint.name);
    }
  }
  return list;
}

void fake_world::Apply(std::size_t entry, const send_attempt& what) {
  const connection_ptr link =
      Connect(entry, what.request, what.attempt, what.endpoint, what.generation);
  const auto& leaving = endpoints_[link->endpoint].leaving_since;
  if (leaving && now_ - *leaving > kLeavingTimeout) {
    truth_.Violate(fmt::format("new work for {} {} ms after it began to leave", what.endpoint,
                               std::chrono::duration_cast<milliseconds>(now_ - *leaving).count()));
  }
  const std::uint64_t caller = callers_.at(what.request).number();
  After(kHop, [this, link, caller] {
    if (!Reachable(*link)) {
      Break(link, run_verdict::kNotRun, failure_cause::kConnectFailed);
      return;
    }
    AtEndpoint(link->endpoint, [this, link, caller] {
      if (endpoints_[link->endpoint].plain) {
        TakeCall(link, caller);
      } else {
        TakeRequest(link, caller);
      }
    });
  });
}

void fake_world::Apply(std::size_t entry, const resume_attempt& what) {
  const connection_ptr link =
      Connect(entry, what.request, what.attempt, what.endpoint, what.generation);
  link->next = what.from_index;
  After(kHop, [this, link] {
    if (!Reachable(*link)) {
      Break(link, run_verdict::kNotRun, failure_cause::kConnectFailed);
      return;
    }
    AtEndpoint(link->endpoint, [this, link] { TakeResume(link); });
  });
}

void fake_world::Apply(std::size_t entry, const cancel_attempt& what) {
  connection_ptr link = FindConnection(entry, what.attempt);
  if (link == nullptr) {
    link = Connect(entry, {}, what.attempt, what.endpoint, what.generation);
  }
  link->open = false;
  connections_.erase({link->entry_life, link->attempt});
  After(kHop, [this, link] {
    if (!Reachable(*link)) {
      return;
    }
    AtEndpoint(link->endpoint, [this, link] {
      auto& generations = endpoints_[link->endpoint].generations;
      const auto place = generations.find(link->generation);
      const bool stopped = place != generations.end() && !place->second.done();
      if (stopped) {
        CheckNobodyReads(link->generation);
        place->second.cancelled = true;
        const auto links = connections_;
        for (const auto& [key, other] : links) {
          Push(other);
        }
      }
      ToEntry(link, cancel_observed{link->attempt, stopped});
    });
  });
}

void fake_world::CheckNobodyReads(const generation_id& generation) {
  // Without gossip an entry cannot know that its caller came back elsewhere.
  if (now_ < gossip_lost_until_ + 2 * kGossipInterval) {
    return;
  }
  for (const auto& [id, caller] : callers_) {
    if (caller.connected() && !caller.finished() && caller.generation() == generation) {
      truth_.Violate(
          fmt::format("caller {}: its generation was cancelled under it", caller.number()));
    }
  }
}

void fake_world::CheckNoneRuns(const connection& link) {
  // Judged at the moment of the decision: a frozen endpoint may take the request only when the
  // endpoint of the earlier generation, which could not be reached then, has long been back.
  const auto was_reachable = [&link](const endpoint_fake& endpoint) {
    return !endpoint.removed && link.sent_at >= endpoint.unreachable_until + 4 * kLeavingTimeout;
  };
  for (const endpoint_fake& endpoint : endpoints_) {
    // Silence is no reason for a second generation; an endpoint that cannot be reached is one.
    if (!was_reachable(endpoint) || !was_reachable(endpoints_[link.endpoint])) {
      continue;
    }
    for (const auto& [id, state] : endpoint.generations) {
      if (state.request == link.request && !state.done()) {
        truth_.Violate(
            fmt::format("request {}: second generation while {} runs", link.request.value, id));
      }
    }
  }
}

void fake_world::Apply(std::size_t entry, const close_attempt& what) {
  if (const connection_ptr link = FindConnection(entry, what.attempt)) {
    link->open = false;
    connections_.erase({link->entry_life, link->attempt});
  }
}

void fake_world::Apply(std::size_t entry, const write_claim& what) {
  const bool outage = now_ < outage_until_;
  const bool lost = now_ < answers_lost_until_;
  claim_tokens_[what.request] = what.claim_token;
  After(milliseconds(Between(1, outage ? 3000 : 20)),
        [this, entry, what, outage, lost, life = entries_[entry].life] {
          claim_answered answer{what.request, claim_state::kUnavailable, 0, {}};
          const bool unknown = (outage || lost) && Between(0, 2) == 0;
          if (!outage || (unknown && Between(0, 1) == 0)) {
            answer = claims_.Write(what);
          }
          if (unknown) {
            answer = {what.request, claim_state::kUnknown, 0, {}};
          }
          if (entries_[entry].life == life) {
            Handle(entry, answer);
            if (Between(0, 9) == 0 && entries_[entry].life == life) {
              Handle(entry, answer);
            }
          }
        });
}

void fake_world::Apply(std::size_t, const complete_claim& what) {
  AfterOutage([this, what] { claims_.Complete(what); });
}

void fake_world::Apply(std::size_t, const release_claim& what) {
  truth_.Released(what.account + "/" + what.key, what.claim_token);
  AfterOutage([this, what] { claims_.Release(what); });
}

void fake_world::AfterOutage(std::function<void()> run) {
  After(std::chrono::ceil<milliseconds>(std::max(outage_until_ - now_, duration::zero())),
        std::move(run));
}

template <typename ToCaller>
void fake_world::Apply(std::size_t, const ToCaller& what) {
  callers_.at(what.request).On(what);
  if constexpr (std::is_same_v<ToCaller, finish_request>) {
    completed_ += what.reason == finish_reason::kCompleted ? 1 : 0;
  }
}

fake_world::connection_ptr fake_world::Connect(std::size_t entry,
                                               request_id request,
                                               attempt_id attempt,
                                               const endpoint_name& endpoint,
                                               const generation_id& generation) {
  auto link = std::make_shared<connection>();
  link->entry = entry;
  link->entry_life = entries_[entry].life;
  link->attempt = attempt;
  link->request = request;
  link->endpoint = IndexOf(endpoint);
  link->generation = generation;
  link->last_byte = now_;
  link->sent_at = now_;
  connections_[{link->entry_life, attempt}] = link;
  After(kSilenceTimeout, [this, link] { WatchSilence(link); });
  return link;
}

fake_world::connection_ptr fake_world::FindConnection(std::size_t entry, attempt_id attempt) const {
  const auto place = connections_.find({entries_[entry].life, attempt});
  return place == connections_.end() ? nullptr : place->second;
}

std::size_t fake_world::IndexOf(const endpoint_name& name) const {
  return static_cast<std::size_t>(std::ranges::find(endpoints_, name, &endpoint_fake::name) -
                                  endpoints_.begin());
}

bool fake_world::Reachable(const connection& link) const {
  const endpoint_fake& endpoint = endpoints_[link.endpoint];
  return endpoint.alive && now_ >= endpoint.unreachable_until;
}

void fake_world::AtEndpoint(std::size_t index, std::function<void()> run) {
  const endpoint_fake& endpoint = endpoints_[index];
  if (now_ < endpoint.frozen_until) {
    const auto wait = std::chrono::ceil<milliseconds>(endpoint.frozen_until - now_);
    After(wait, [this, index, run = std::move(run), life = endpoint.life] {
      if (endpoints_[index].life == life) {
        AtEndpoint(index, run);
      }
    });
    return;
  }
  run();
}

bool fake_world::Declines(const connection_ptr& link) {
  const endpoint_fake& endpoint = endpoints_[link->endpoint];
  link->answered = now_ < endpoint.declines_until || endpoint.Running() >= kSlots;
  if (link->answered) {
    ToEntry(link, attempt_declined{link->attempt, milliseconds(50), false, "full"});
  }
  return link->answered;
}

void fake_world::TakeRequest(const connection_ptr& link, std::uint64_t caller) {
  endpoint_fake& endpoint = endpoints_[link->endpoint];
  if (Declines(link)) {
    return;
  }
  const planned_request& plan = script_.requests[caller];
  CheckNoneRuns(*link);
  endpoint.generations[link->generation] = {link->request, caller, 0, plan.tokens, false};
  truth_.Generated(caller, link->generation, plan.tokens);
  link->attached = true;
  ToEntry(link, attempt_accepted{link->attempt});
  if (plan.crashes) {
    After(milliseconds(Between(0, 30)),
          [this, index = link->endpoint] { Kill(index, milliseconds(1000)); });
  }
  Produce(link->endpoint, link->generation, endpoint.life);
}

void fake_world::TakeCall(const connection_ptr& link, std::uint64_t caller) {
  endpoint_fake& endpoint = endpoints_[link->endpoint];
  if (Declines(link)) {
    return;
  }
  const caller_fake& who = callers_.at(link->request);
  const bool repeatable = who.plan().wish != caller_wish::kUnrepeatable;
  truth_.Called(caller, who.key(), repeatable);
  if (!repeatable) {
    truth_.Ran(claim_tokens_[link->request]);
  }
  link->attached = true;
  const std::string body = repeatable ? fmt::format("caller {}", caller) : who.key();
  const std::int64_t slowness = now_ < endpoint.slow_until ? 20 : 1;
  After(milliseconds(Between(1, 20) * slowness), [this, link, body, life = endpoint.life] {
    if (endpoints_[link->endpoint].life == life && link->open && !link->silent) {
      link->answered = true;
      ToEntry(link, response_received{link->attempt, 200, "text/plain", body});
    }
  });
}

void fake_world::TakeResume(const connection_ptr& link) {
  const auto& generations = endpoints_[link->endpoint].generations;
  if (!generations.contains(link->generation)) {
    Break(link, run_verdict::kNotRun, failure_cause::kGenerationUnknown);
    return;
  }
  link->attached = true;
  ToEntry(link, attempt_accepted{link->attempt});
  Push(link);
}

void fake_world::Produce(std::size_t index, const generation_id& generation, std::uint64_t life) {
  endpoint_fake& endpoint = endpoints_[index];
  if (endpoint.life != life) {
    return;
  }
  auto& state = endpoint.generations.at(generation);
  const auto links = connections_;
  for (const auto& [key, link] : links) {
    if (link->endpoint == index && link->generation == generation) {
      Push(link);
    }
  }
  if (state.done()) {
    return;
  }
  const int slowness = now_ < endpoint.slow_until ? 5 : 1;
  After(kTokenInterval * slowness, [this, index, generation, life] {
    AtEndpoint(index, [this, index, generation, life] {
      if (endpoints_[index].life == life) {
        auto& next = endpoints_[index].generations.at(generation);
        next.produced += next.done() ? 0 : 1;
        Produce(index, generation, life);
      }
    });
  });
}

void fake_world::Push(const connection_ptr& link) {
  const endpoint_fake& endpoint = endpoints_[link->endpoint];
  const auto place = endpoint.generations.find(link->generation);
  if (!link->open || link->silent || !link->attached || link->answered ||
      place == endpoint.generations.end()) {
    return;
  }
  link->last_byte = now_;
  for (; link->next < place->second.produced; ++link->next) {
    ToEntry(link, token_received{link->attempt, link->generation, link->next,
                                 caller_fake::Text(link->generation, link->next)});
  }
  if (place->second.done()) {
    link->answered = true;
    ToEntry(link, attempt_finished{
                      link->attempt, place->second.produced,
                      place->second.cancelled ? std::string(kCancelledFinishReason) : "stop"});
  }
}

void fake_world::WatchSilence(const connection_ptr& link) {
  if (!link->open || link->answered) {
    return;
  }
  const endpoint_fake& endpoint = endpoints_[link->endpoint];
  if (link->attached && !link->silent && endpoint.alive && now_ >= endpoint.frozen_until) {
    link->last_byte = now_;
  }
  if (now_ - link->last_byte >= kSilenceTimeout) {
    Break(link, run_verdict::kMayHaveRun, failure_cause::kSilent);
    return;
  }
  After(milliseconds(500), [this, link] { WatchSilence(link); });
}

}  // namespace tarragon::decision
