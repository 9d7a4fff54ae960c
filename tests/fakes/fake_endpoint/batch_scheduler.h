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
  /** Most streams in the batch. */
  std::size_t slots = 8;
  std::uint64_t kv_tokens = 16'384;
  /** Requests are declined while this many wait. */
  std::size_t max_waiting = 32;
  std::chrono::microseconds step{10'000};
  /** Added to a step for each stream in the batch. */
  std::chrono::microseconds step_per_stream{500};
  /** Pause of a stream for each token whose memory has to be computed on admission. */
  std::chrono::microseconds prefill_per_token{50};
};

struct scheduled_request {
  generation_id id;
  /** Lower is served first. */
  int priority = 0;
  std::uint32_t prompt_tokens = 0;
  /** Tokens of the prompt that the prefix cache saves. */
  std::uint32_t cached_tokens = 0;
  /** Tokens to produce; positive. */
  std::uint32_t output_tokens = 1;
};

enum class submit_outcome : std::uint8_t {
  kAccepted,
  /** Too many requests wait. */
  kDeclined,
  /** The request can never fit in the memory. */
  kTooLong,
};

struct produced_token {
  generation_id id;
  std::uint32_t index = 0;
  bool last = false;
  /** The stream ended because the memory cannot hold another token of it. */
  bool cut_short = false;
};

struct scheduler_state {
  std::size_t running = 0;
  std::size_t waiting = 0;
  std::uint64_t kv_tokens_used = 0;
  std::uint64_t preemptions = 0;
  /** Time that preempted streams spent between two tokens. */
  duration stall = duration::zero();
};

/** Outcome of a cancel. */
enum class cancel_outcome : std::uint8_t { kUnknown, kWasWaiting, kWasRunning };

/**
 * Continuous batching in limited memory: each step yields one token for each stream of the batch.
 * A prefill delays only its own stream. Not safe from several threads.
 */
class batch_scheduler final {
 public:
  explicit batch_scheduler(scheduler_limits limits);

  /** @param request its id must not have been submitted before. */
  submit_outcome Submit(const scheduled_request& request);

  /** Ends the request if it waits or runs. */
  cancel_outcome Cancel(const generation_id& id);

  /** Admits waiting work to the batch of the step that starts at `now`. */
  void StartStep(time_point now);
  /** @return the tokens produced by the step that ends at `now`. */
  std::vector<produced_token> EndStep(time_point now);

  /** @return time that a step takes with the present batch. */
  duration StepTime() const;

  bool IsIdle() const { return running_.empty() && waiting_.empty(); }
  scheduler_state State() const;

  /** Asserts that batch and memory are within their limits. */
  void Validate() const;

 private:
  struct stream {
    scheduled_request request;
    std::uint64_t arrival = 0;
    std::uint32_t produced = 0;
    // Time from which the stream yields tokens; set on admission.
    time_point ready_at{};
    // Set while the stream is out of the batch or computes its memory again after a preemption.
    std::optional<time_point> preempted_at{};

    std::uint64_t MemoryTokens() const { return request.prompt_tokens + std::uint64_t{produced}; }
  };

  static bool IsServedBefore(const stream& a, const stream& b);

  bool Fits(const stream& candidate) const;
  bool MakeRoomFor(const stream& candidate, time_point now);
  void GrowMemory(time_point now);
  void Preempt(std::size_t position, time_point now);
  std::size_t LeastUrgentRunning() const;
  void Enqueue(stream&& item);
  std::uint64_t UsedTokens() const;

  const scheduler_limits limits_;
  std::vector<stream> running_;
  // In the order of service.
  std::vector<stream> waiting_;
  std::uint64_t next_arrival_ = 0;
  std::uint64_t preemptions_ = 0;
  duration stall_ = duration::zero();
};

}  // namespace tarragon::fakes

#endif  // TARRAGON_FAKES_FAKE_ENDPOINT_BATCH_SCHEDULER_H_
