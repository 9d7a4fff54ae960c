#include "tarragon/net/platform_thread.h"

#include <atomic>
#include <condition_variable>
#include <mutex>
#include <thread>
#include <unordered_set>
#include <utility>
#include <vector>

#include "tarragon/base/bounded_ring.h"
#include "tarragon/base/metrics.h"
#include "tarragon/store/claim_store.h"
#include "tarragon/store/platform_store.h"

namespace tarragon::net {

namespace {

constexpr std::chrono::hours kExpiryInterval{1};
constexpr std::chrono::milliseconds kQueuePollInterval{100};

decision::claim_state ToClaimState(store::claim_outcome outcome) {
  switch (outcome) {
    case store::claim_outcome::kWon:
      return decision::claim_state::kWon;
    case store::claim_outcome::kHeldByOther:
      return decision::claim_state::kHeldByOther;
    case store::claim_outcome::kCompleted:
      return decision::claim_state::kCompleted;
    case store::claim_outcome::kUnavailable:
      return decision::claim_state::kUnavailable;
    case store::claim_outcome::kUnknown:
      return decision::claim_state::kUnknown;
  }
  return decision::claim_state::kUnknown;
}

bool IsSettled(store::claim_outcome outcome) {
  return outcome == store::claim_outcome::kWon || outcome == store::claim_outcome::kHeldByOther;
}

}  // namespace

struct platform_thread::state {
  state(platform_thread_options thread_options,
        store::platform_store& platform,
        const document::document_replica& replica,
        event_sink event_receiver,
        vm_list_sink list_receiver,
        const clock& time_source,
        metrics& counters)
      : options(thread_options),
        store(platform),
        documents(replica),
        sink(std::move(event_receiver)),
        list_sink(std::move(list_receiver)),
        time(time_source),
        claims(platform, time_source),
        claim_queue(thread_options.claim_queue_capacity),
        list_reads(counters.Counter("tarragon_vm_list_reads_total")),
        list_failures(counters.Counter("tarragon_vm_list_failures_total")),
        claim_retries(counters.Counter("tarragon_claim_retries_total")) {}

  /** Waits for `wait` or until `Stop` is called. @return false once the threads stop. */
  bool SleepUnlessStopped(duration wait) {
    std::unique_lock lock(mutex);
    return !stop_or_timeout.wait_for(lock, wait, [this] { return stopped; });
  }

  void RunClaimLoop() {
    while (!claim_queue.IsClosed()) {
      if (const auto action = claim_queue.Pop(kQueuePollInterval)) {
        std::visit([this](const auto& claim) { Perform(claim); }, *action);
        pending_claims.fetch_sub(1);
      }
    }
  }

  void Perform(const decision::write_claim& claim) {
    const store::claim_result result =
        claims.Write({claim.account, claim.key, claim.claim_token}, claim.request_fingerprint);
    decision::claim_answered answered;
    answered.request = claim.request;
    answered.state = ToClaimState(result.outcome);
    answered.recorded_status = result.recorded_status;
    answered.recorded_body = result.recorded_body;
    sink(std::move(answered));
  }

  /** Retries until the row is settled, since an unrecorded result blocks its idempotency key. */
  template <typename F>
  void RetryUntilSettled(F write) {
    while (!IsSettled(write()) && SleepUnlessStopped(options.claim_retry_interval)) {
      claim_retries.Add();
    }
  }

  void Perform(const decision::complete_claim& claim) {
    RetryUntilSettled([&] {
      return claims.Complete({claim.account, claim.key, claim.claim_token}, claim.status,
                             claim.body);
    });
  }

  void Perform(const decision::release_claim& claim) {
    RetryUntilSettled([&] {
      return claims.Release({claim.account, claim.key, claim.claim_token});
    });
  }

  void RunVmListLoop() {
    do {
      PollVmList();
    } while (SleepUnlessStopped(options.vm_list_interval));
  }

  // Runs on its own thread, so that a long deletion does not delay reads of the VM list.
  void RunExpiryLoop() {
    while (SleepUnlessStopped(kExpiryInterval)) {
      (void)claims.ExpireOld();
    }
  }

  void PollVmList() {
    const auto list = store.ListVms();
    if (!list) {
      list_failures.Add();
      return;
    }
    std::unordered_set<std::string> leaving;
    for (const store::listed_vm& vm : list.value()) {
      if (vm.leaving) {
        leaving.insert(vm.id);
        leaving.insert(vm.address);
      }
    }
    decision::vm_list_changed changed;
    if (const document::document_ptr document = documents.Current()) {
      for (const document::endpoint_settings& endpoint : document->contents().endpoints) {
        if (leaving.contains(endpoint.name) || leaving.contains(endpoint.address)) {
          changed.leaving.push_back(endpoint.name);
        }
      }
    }
    // The event is sent after every read, since the document may have changed even if the list has
    // not.
    sink(std::move(changed));
    if (list_sink) {
      list_sink(list.value());
    }
    list_reads.Add();
  }

  const platform_thread_options options;
  store::platform_store& store;
  const document::document_replica& documents;
  const event_sink sink;
  const vm_list_sink list_sink;
  const clock& time;
  store::claim_store claims;
  bounded_ring<claim_action> claim_queue;
  counter& list_reads;
  counter& list_failures;
  counter& claim_retries;
  std::atomic<std::size_t> pending_claims{0};
  std::mutex mutex;
  std::condition_variable stop_or_timeout;
  bool stopped = false;
  std::vector<std::thread> threads;
};

platform_thread::platform_thread(platform_thread_options options,
                                 store::platform_store& store,
                                 const document::document_replica& documents,
                                 event_sink sink,
                                 vm_list_sink list_sink,
                                 const clock& time,
                                 metrics& counters)
    : state_(std::make_unique<state>(options,
                                     store,
                                     documents,
                                     std::move(sink),
                                     std::move(list_sink),
                                     time,
                                     counters)) {}

platform_thread::~platform_thread() {
  Stop();
}

void platform_thread::Start() {
  state_->threads.emplace_back([this] { state_->RunVmListLoop(); });
  state_->threads.emplace_back([this] { state_->RunExpiryLoop(); });
  for (std::size_t i = 0; i < state_->options.claim_threads; ++i) {
    state_->threads.emplace_back([this] { state_->RunClaimLoop(); });
  }
}

void platform_thread::Stop() {
  {
    std::lock_guard lock(state_->mutex);
    state_->stopped = true;
  }
  state_->stop_or_timeout.notify_all();
  state_->claim_queue.Close();
  for (std::thread& thread : state_->threads) {
    thread.join();
  }
  state_->threads.clear();
}

bool platform_thread::TryPush(const claim_action& action) {
  state_->pending_claims.fetch_add(1);
  claim_action copy = action;
  if (state_->claim_queue.TryPush(std::move(copy))) {
    return true;
  }
  state_->pending_claims.fetch_sub(1);
  return false;
}

std::size_t platform_thread::PendingClaims() const {
  return state_->pending_claims.load();
}

}  // namespace tarragon::net
