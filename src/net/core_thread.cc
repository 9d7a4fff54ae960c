#include "tarragon/net/core_thread.h"

#include <atomic>
#include <deque>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <unordered_map>
#include <utility>
#include <vector>

#include "tarragon/base/bounded_ring.h"
#include "tarragon/base/metrics.h"
#include "tarragon/decision/request_engine.h"

namespace tarragon::net {

namespace {

constexpr std::chrono::milliseconds kTickInterval{20};
constexpr std::chrono::milliseconds kPublishInterval{250};

struct core_input {
  decision::event event;
  /** Null unless the event opens a request. */
  open_request_ptr request;
  time_point pushed_at;
};

}  // namespace

struct core_thread::state {
  state(const core_options& core,
        claim_sink claim_target,
        const clock& clock_source,
        metrics& counters)
      : options(core),
        submit_claim(std::move(claim_target)),
        time(clock_source),
        ring(core.ring_capacity),
        engine(core.engine, core.seed, counters),
        callers_dropped(counters.Counter("tarragon_callers_dropped_total")),
        ring_full(counters.Counter("tarragon_core_ring_full_total")),
        open_gauge(counters.Gauge("tarragon_open_requests")),
        ring_wait_latency(counters.Latency("tarragon_core_ring_wait_seconds")),
        handling_latency(counters.Latency("tarragon_core_handling_seconds")),
        decision_latency(counters.Latency("tarragon_core_deciding_seconds")),
        endpoint_connections(
            core.upstream,
            [this](decision::event&& event) {
              ring.Push({std::move(event), nullptr, time.Now()});
            },
            clock_source,
            counters) {}

  struct tracked_request {
    open_request_ptr request;
    bool disconnected = false;
  };

  void Run() {
    time_point next_tick = time.Now();
    time_point next_publish = next_tick;
    while (!ring.IsClosed()) {
      time_point now = time.Now();
      if (now < next_tick) {
        if (auto input = ring.Pop(next_tick - now)) {
          now = time.Now();
          ring_wait_latency.Record(now - input->pushed_at);
          if (input->request) {
            requests[input->request->properties.request] = {input->request, false};
          }
          HandleWithFollowUpEvents(input->event);
          handling_latency.Record(time.Now() - now);
        }
        continue;
      }
      next_tick = now + kTickInterval;
      HandleWithFollowUpEvents(decision::tick{});
      SubmitQueuedClaims();
      if (now >= next_publish) {
        next_publish = now + kPublishInterval;
        PublishLocalState(now);
      }
    }
  }

  void PublishLocalState(time_point now) {
    open_gauge.Set(static_cast<std::int64_t>(engine.OpenRequestCount()));
    decision::peer_state current = engine.LocalState(now);
    std::lock_guard lock(published_mutex);
    published_state = std::move(current);
  }

  void HandleWithFollowUpEvents(const decision::event& event) {
    HandleEvent(event);
    while (!follow_up_events.empty()) {
      const decision::event next = std::move(follow_up_events.front());
      follow_up_events.pop_front();
      HandleEvent(next);
    }
    open_requests.store(engine.OpenRequestCount(), std::memory_order_release);
  }

  void HandleEvent(const decision::event& event) {
    if (const auto* changed = std::get_if<decision::document_changed>(&event)) {
      // Addresses of removed endpoints are kept, because streams to them may still run.
      for (const auto& endpoint : changed->document->contents().endpoints) {
        endpoint_addresses[endpoint.name] = endpoint.address;
      }
    } else if (const auto* disconnect = std::get_if<decision::caller_disconnected>(&event)) {
      if (const auto found = requests.find(disconnect->request); found != requests.end()) {
        found->second.disconnected = true;
      }
    }
    actions.clear();
    const time_point start = time.Now();
    engine.HandleEvent(start, event, actions);
    decision_latency.Record(time.Now() - start);
    for (decision::action& action : actions) {
      std::visit([this](auto& alternative) { Perform(alternative); }, action);
    }
  }

  std::string Address(const endpoint_name& endpoint) const {
    const auto found = endpoint_addresses.find(endpoint);
    return found == endpoint_addresses.end() ? std::string() : found->second;
  }

  void QueueSendFailure(attempt_id attempt) {
    follow_up_events.push_back(decision::attempt_failed{attempt, run_verdict::kNotRun,
                                                        decision::failure_cause::kConnectFailed});
  }

  void Perform(decision::send_attempt& send) {
    const auto found = requests.find(send.request);
    if (found == requests.end() ||
        !endpoint_connections.Send(found->second.request, send, Address(send.endpoint))) {
      QueueSendFailure(send.attempt);
    }
  }

  void Perform(decision::resume_attempt& resume) {
    if (!endpoint_connections.Resume(resume, Address(resume.endpoint))) {
      QueueSendFailure(resume.attempt);
    }
  }

  void Perform(decision::cancel_attempt& cancel) {
    if (!endpoint_connections.Cancel(cancel, Address(cancel.endpoint))) {
      follow_up_events.push_back(decision::cancel_observed{cancel.attempt, false});
    }
  }

  void Perform(decision::close_attempt& close) { endpoint_connections.Close(close.attempt); }

  template <typename T>
  void Perform(T& message) {
    const request_id id = message.request;
    DeliverMessage(id, std::move(message));
  }
  void Perform(decision::finish_request& finish) {
    const request_id id = finish.request;
    DeliverMessage(id, std::move(finish));
    requests.erase(id);
  }

  void DeliverMessage(request_id id, caller_message message) {
    const auto found = requests.find(id);
    if (found == requests.end() || found->second.disconnected) {
      return;
    }
    const bool is_final = std::holds_alternative<decision::finish_request>(message);
    if (!found->second.request->mailbox.TryPush(std::move(message)) && !is_final) {
      // A caller that does not read counts as disconnected. The caller may resume with its ticket.
      found->second.disconnected = true;
      callers_dropped.Add();
      follow_up_events.push_back(decision::caller_disconnected{id});
    }
  }

  void Perform(decision::write_claim& claim) {
    if (!submit_claim(claim)) {
      decision::claim_answered answer;
      answer.request = claim.request;
      answer.state = decision::claim_state::kUnavailable;
      follow_up_events.push_back(std::move(answer));
    }
  }
  void Perform(decision::complete_claim& claim) { SubmitOrQueueClaim(claim); }
  void Perform(decision::release_claim& claim) { SubmitOrQueueClaim(claim); }

  void SubmitOrQueueClaim(claim_action claim) {
    if (!queued_claims.empty() || !submit_claim(claim)) {
      queued_claims.push_back(std::move(claim));
    }
  }

  void SubmitQueuedClaims() {
    while (!queued_claims.empty() && submit_claim(queued_claims.front())) {
      queued_claims.pop_front();
    }
  }

  const core_options options;
  const claim_sink submit_claim;
  const clock& time;
  bounded_ring<core_input> ring;
  decision::request_engine engine;
  counter& callers_dropped;
  counter& ring_full;
  counter& open_gauge;
  latency_histogram& ring_wait_latency;
  latency_histogram& handling_latency;
  latency_histogram& decision_latency;
  std::unordered_map<request_id, tracked_request> requests;
  std::unordered_map<std::string, std::string> endpoint_addresses;
  std::vector<decision::action> actions;
  std::deque<decision::event> follow_up_events;
  /** Completions and releases that did not fit into the queue of the claim threads. */
  std::deque<claim_action> queued_claims;
  std::atomic<std::size_t> open_requests{0};
  mutable std::mutex published_mutex;
  decision::peer_state published_state;
  upstream endpoint_connections;
  std::thread thread;
};

core_thread::core_thread(const core_options& options,
                         claim_sink submit_claim,
                         const clock& time,
                         metrics& counters)
    : state_(std::make_unique<state>(options, std::move(submit_claim), time, counters)) {}

core_thread::~core_thread() {
  Stop();
}

void core_thread::Start() {
  state_->thread = std::thread([this] { state_->Run(); });
}

void core_thread::Stop() {
  // The ring is closed first, because threads of `endpoint_connections` may be blocked on the full
  // ring.
  state_->ring.Close();
  if (state_->thread.joinable()) {
    state_->thread.join();
  }
  state_->endpoint_connections.Stop();
  for (auto& [id, entry] : state_->requests) {
    entry.request->mailbox.Close();
  }
}

bool core_thread::TryOpen(open_request_ptr request, decision::event arrival) {
  if (state_->ring.TryPush({std::move(arrival), std::move(request), state_->time.Now()})) {
    return true;
  }
  state_->ring_full.Add();
  return false;
}

bool core_thread::Post(decision::event event) {
  return state_->ring.Push({std::move(event), nullptr, state_->time.Now()});
}

std::size_t core_thread::OpenRequests() const {
  return state_->open_requests.load(std::memory_order_acquire);
}

decision::peer_state core_thread::LocalState() const {
  std::lock_guard lock(state_->published_mutex);
  return state_->published_state;
}

}  // namespace tarragon::net
