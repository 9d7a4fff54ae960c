#ifndef TARRAGON_FAKES_FAKE_ENDPOINT_BATCH_SCHEDULER_H_
#define TARRAGON_FAKES_FAKE_ENDPOINT_BATCH_SCHEDULER_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "tarragon/base/clock.h"
#include "tarragon/base/ids.h"

namespace tarragon::fakes {

struct scheduler_limits {
  /** Maximum number of streams in the batch. */
  std::size_t slots = 8;
  /** Capacity of the KV cache. */
  std::uint64_t kv_tokens = 16'384;
  /** Requests are declined while this many wait. */
  std::size_t max_waiting = 32;
  std::chrono::microseconds step{10'000};
  /** Added to the duration of a step for each stream in the batch. */
  std::chrono::microseconds step_per_stream{500};
  /** Prefill time of a stream for each token that is not in the prefix cache. */
  std::chrono::microseconds prefill_per_token{50};
};

struct scheduled_request {
  generation_id id;
  /** Lower values are served first. */
  int priority = 0;
  std::uint32_t prompt_tokens = 0;
  /** Tokens of the prompt that are in the prefix cache. */
  std::uint32_t cached_tokens = 0;
  /** Tokens to produce; at least 1. */
  std::uint32_t output_tokens = 1;
};

enum class submit_outcome : std::uint8_t {
  kAccepted,
  /** Too many requests wait. */
  kDeclined,
  /** The request exceeds the capacity of the KV cache. */
  kTooLong,
};

struct produced_token {
  generation_id id;
  std::uint32_t index = 0;
  bool last = false;
  /** The stream ended because the KV cache cannot hold another token of it. */
  bool truncated = false;
};

struct scheduler_state {
  std::size_t running = 0;
  std::size_t waiting = 0;
  std::uint64_t kv_tokens_used = 0;
  std::uint64_t preemptions = 0;
  /** Total time from a preemption of a stream to its next token. */
  duration stall = duration::zero();
};

/** State of a request before a cancel. */
enum class cancel_outcome : std::uint8_t { kUnknown, kWasWaiting, kWasRunning };

/**
 * Continuous batching with a limited KV cache: each step yields one token for each stream of the
 * batch. A prefill delays only its own stream. Not thread-safe.
 */
class batch_scheduler final {
 public:
  explicit batch_scheduler(scheduler_limits limits);

  /** @param request its id must not have been submitted before. */
  submit_outcome Submit(const scheduled_request& request);

  /** Ends the request if it is waiting or running. */
  cancel_outcome Cancel(const generation_id& id);

  /** Admits waiting requests to the batch of the step that starts at `now`. */
  void StartStep(time_point now);
  /** @return the tokens produced by the step that ends at `now`. */
  std::vector<produced_token> EndStep(time_point now);

  /** @return duration of a step with the current batch. */
  duration StepTime() const;

  bool IsIdle() const { return running_.empty() && waiting_.empty(); }
  scheduler_state State() const;

  /** Asserts that batch and KV cache are within their limits and the queue is in order. */
  void Validate() const;

 private:
  struct stream {
    scheduled_request request;
    std::uint64_t arrival = 0;
    std::uint32_t produced = 0;
    // Time at which the prefill ends; set on admission.
    time_point ready_at{};
    // Set from a preemption until the next token.
    std::optional<time_point> preempted_at{};

    std::uint64_t KvTokens() const { return request.prompt_tokens + std::uint64_t{produced}; }
  };

  static bool IsServedBefore(const stream& a, const stream& b);

  bool CanAdmit(const stream& candidate) const;
  bool PreemptFor(const stream& candidate, time_point now);
  void PreemptForNextTokens(time_point now);
  void Preempt(std::size_t position, time_point now);
  std::size_t FindLeastUrgentRunning() const;
  void Enqueue(stream&& item);
  std::uint64_t UsedKvTokens() const;

  const scheduler_limits limits_;
  std::vector<stream> running_;
  // Sorted by `IsServedBefore`.
  std::vector<stream> waiting_;
  std::uint64_t next_arrival_ = 0;
  std::uint64_t preemptions_ = 0;
  duration stall_ = duration::zero();
};

}  // namespace tarragon::fakes

#endif  // TARRAGON_FAKES_FAKE_ENDPOINT_BATCH_SCHEDULER_H_
