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
  decision::event what;
  /** Set for a new request only. */
  open_request_ptr request;
  time_point pushed;
};

}  // namespace

struct core_thread::state {
  state(const core_options& core, claim_sink claim_target, const clock& source, metrics& counters)
      : options(core),
        claims(std::move(claim_target)),
        time(source),
        ring(core.ring_capacity),
        engine(core.engine, core.seed, counters),
        callers_dropped(counters.Counter("tarragon_callers_dropped_total")),
        ring_full(counters.Counter("tarragon_core_ring_full_total")),
        open_gauge(counters.Gauge("tarragon_open_requests")),
        ring_wait(counters.Latency("tarragon_core_ring_wait_seconds")),
        handling(counters.Latency("tarragon_core_handling_seconds")),
        deciding(counters.Latency("tarragon_core_deciding_seconds")),
        links(
            core.upstream,
            [this](decision::event&& what) {
              ring.Push({std::move(what), nullptr, time.Now()});
            },
            source,
            counters) {}

  struct open_entry {
    open_request_ptr request;
    bool gone = false;
  };

  void Run() {
    time_point next_tick = time.Now();
    time_point next_publish = next_tick;
    while (!ring.IsClosed()) {
      time_point now = time.Now();
      if (now < next_tick) {
        if (auto input = ring.Pop(next_tick - now)) {
          now = time.Now();
          ring_wait.Record(now - input->pushed);
          if (input->request) {
            requests[input->request->facts.request] = {input->request, false};
          }
          Handle(input->what);
          handling.Record(time.Now() - now);
        }
        continue;
      }
      next_tick = now + kTickInterval;
      Handle(decision::tick{});
      RetryClaims();
      if (now >= next_publish) {
        next_publish = now + kPublishInterval;
        Publish(now);
      }
    }
  }

  void Publish(time_point now) {
    open_gauge.Set(static_cast<std::int64_t>(engine.OpenRequests()));
    decision::peer_state current = engine.LocalState(now);
    std::lock_guard lock(published_mutex);
    published = std::move(current);
  }

  void Handle(const decision::event& what) {
    HandleOne(what);
    while (!follow_ups.empty()) {
      const decision::event next = std::move(follow_ups.front());
      follow_ups.pop_front();
      HandleOne(next);
    }
    open.store(engine.OpenRequests(), std::memory_order_release);
  }

  void HandleOne(const decision::event& what) {
    if (const auto* changed = std::get_if<decision::document_changed>(&what)) {
      // Addresses of endpoints that left the document stay known while their streams run.
      for (const auto& endpoint : changed->document->contents().endpoints) {
        addresses[endpoint.name] = endpoint.address;
      }
    } else if (const auto* gone = std::get_if<decision::caller_disconnected>(&what)) {
      if (const auto found = requests.find(gone->request); found != requests.end()) {
        found->second.gone = true;
      }
    }
    actions.clear();
    const time_point start = time.Now();
    engine.Handle(start, what, actions);
    deciding.Record(time.Now() - start);
    for (decision::action& action : actions) {
      std::visit([this](auto& one) { Perform(one); }, action);
    }
  }

  std::string Address(const endpoint_name& endpoint) const {
    const auto found = addresses.find(endpoint);
    return found == addresses.end() ? std::string() : found->second;
  }

  void NotSent(attempt_id attempt) {
    follow_ups.push_back(decision::attempt_failed{attempt, run_verdict::kNotRun,
                                                  decision::failure_cause::kConnectFailed});
  }

  void Perform(decision::send_attempt& send) {
    const auto found = requests.find(send.request);
    if (found == requests.end() ||
        !links.Send(found->second.request, send, Address(send.endpoint))) {
      NotSent(send.attempt);
    }
  }

  void Perform(decision::resume_attempt& resume) {
    if (!links.Resume(resume, Address(resume.endpoint))) {
      NotSent(resume.attempt);
    }
  }

  void Perform(decision::cancel_attempt& cancel) {
    if (!links.Cancel(cancel, Address(cancel.endpoint))) {
      follow_ups.push_back(decision::cancel_observed{cancel.attempt, false});
    }
  }

  void Perform(decision::close_attempt& close) { links.Close(close.attempt); }

  template <typename T>
  void Perform(T& message) {
    const request_id id = message.request;
    Deliver(id, std::move(message));
  }
  void Perform(decision::finish_request& finish) {
    const request_id id = finish.request;
    Deliver(id, std::move(finish));
    requests.erase(id);
  }

  void Deliver(request_id id, caller_message message) {
    const auto found = requests.find(id);
    if (found == requests.end() || found->second.gone) {
      return;
    }
    const bool last = std::holds_alternative<decision::finish_request>(message);
    if (!found->second.request->mailbox.TryPush(std::move(message)) && !last) {
      // The caller does not read: for the engine it is gone, and it may return with its ticket.
      found->second.gone = true;
      callers_dropped.Add();
      follow_ups.push_back(decision::caller_disconnected{id});
    }
  }

  void Perform(decision::write_claim& claim) {
    if (!claims(claim)) {
      decision::claim_answered answer;
      answer.request = claim.request;
      answer.state = decision::claim_state::kUnavailable;
      follow_ups.push_back(std::move(answer));
    }
  }
  void Perform(decision::complete_claim& claim) { KeepClaim(claim); }
  void Perform(decision::release_claim& claim) { KeepClaim(claim); }

  void KeepClaim(claim_action claim) {
    if (!unwritten.empty() || !claims(claim)) {
      unwritten.push_back(std::move(claim));
    }
  }

  void RetryClaims() {
    while (!unwritten.empty() && claims(unwritten.front())) {
      unwritten.pop_front();
    }
  }

  const core_options options;
  const claim_sink claims;
  const clock& time;
  bounded_ring<core_input> ring;
  decision::request_engine engine;
  counter& callers_dropped;
  counter& ring_full;
  counter& open_gauge;
  latency_histogram& ring_wait;
  latency_histogram& handling;
  latency_histogram& deciding;
  std::unordered_map<request_id, open_entry> requests;
  std::unordered_map<std::string, std::string> addresses;
  std::vector<decision::action> actions;
  std::deque<decision::event> follow_ups;
  /** Completions and releases that the claim thread had no room for. */
  std::deque<claim_action> unwritten;
  std::atomic<std::size_t> open{0};
  mutable std::mutex published_mutex;
  decision::peer_state published;
  upstream links;
  std::thread thread;
};

core_thread::core_thread(const core_options& options,
                         claim_sink claims,
                         const clock& time,
                         metrics& counters)
    : state_(std::make_unique<state>(options, std::move(claims), time, counters)) {}

core_thread::~core_thread() {
  Stop();
}

void core_thread::Start() {
  state_->thread = std::thread([this] { state_->Run(); });
}

void core_thread::Stop() {
  // The ring is closed first, since threads of `links` may wait for room in it.
  state_->ring.Close();
  if (state_->thread.joinable()) {
    state_->thread.join();
  }
  state_->links.Stop();
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

bool core_thread::Post(decision::event what) {
  return state_->ring.Push({std::move(what), nullptr, state_->time.Now()});
}

std::size_t core_thread::OpenRequests() const {
  return state_->open.load(std::memory_order_acquire);
}

decision::peer_state core_thread::LocalState() const {
  std::lock_guard lock(state_->published_mutex);
  return state_->published;
}

}  // namespace tarragon::net
