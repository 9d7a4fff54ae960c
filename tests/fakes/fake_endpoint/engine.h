#ifndef TARRAGON_FAKES_FAKE_ENDPOINT_ENGINE_H_
#define TARRAGON_FAKES_FAKE_ENDPOINT_ENGINE_H_

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "fakes/fake_endpoint/batch_scheduler.h"
#include "fakes/fake_endpoint/desired_state.h"
#include "fakes/fake_endpoint/fault_state.h"
#include "fakes/fake_endpoint/generation_store.h"
#include "fakes/fake_endpoint/load_reporter.h"
#include "fakes/fake_endpoint/prefix_cache.h"
#include "tarragon/base/clock.h"

namespace tarragon::fakes {

struct engine_options {
  scheduler_limits limits;
  std::size_t cache_blocks = 1024;
  double cache_event_gap_share = 0;
  std::chrono::milliseconds cache_event_lag{0};
  std::chrono::milliseconds report_lag{0};
  /** A generation without a reader for this long is cancelled. */
  std::chrono::milliseconds orphan_limit{30'000};
  /** Requests are declined while a model is being loaded. */
  bool load_blocks = false;
  std::uint64_t seed = 1;
};

struct engine_request {
  generation_id id;
  std::string model;
  std::string adapter;
  std::string prompt;
  std::optional<std::uint32_t> max_tokens;
  int priority = 0;
};

enum class engine_outcome : std::uint8_t {
  kAccepted,
  kDeclined,
  kDuplicate,
  kNotServed,
  kTooLong,
};

struct submit_result {
  engine_outcome outcome = engine_outcome::kDeclined;
  /** Null unless accepted. */
  generation_ptr accepted;
};

/** Result of a cancel of a known generation. */
struct cancel_result {
  bool stopped = false;
  bool was_running = false;
  generation_summary summary;
};

/** A model engine without its HTTP interface; runs the scheduler on its own thread. */
class engine final {
 public:
  /** @param time, faults, desired outlive the engine. */
  engine(engine_options options, const clock& time, fault_state& faults, desired_state& desired);
  ~engine();
  engine(const engine&) = delete;
  engine& operator=(const engine&) = delete;

  submit_result Submit(const engine_request& request);
  std::optional<cancel_result> Cancel(const generation_id& id);
  generation_ptr Find(const generation_id& id) const;
  /** @return a generation whose token texts differ from those of `id`, or empty. */
  std::optional<generation_id> FindOther(const generation_id& id) const;

  void SetLoading(bool loading) { loading_ = loading; }

  nlohmann::json LoadReport() const;
  nlohmann::json CacheEvents(std::uint64_t after) const;
  nlohmann::json Stats() const;

 private:
  void RunSteps();
  void RunHousekeeping();
  void StartStep(time_point last_step);
  void DeliverTokens(const std::vector<produced_token>& tokens, time_point now);
  nlohmann::json CurrentLoad() const;

  const engine_options options_;
  const clock& clock_;
  fault_state& faults_;
  desired_state& desired_;
  generation_store store_;
  load_reporter reporter_;
  std::atomic<bool> loading_ = false;
  std::atomic<bool> stopping_ = false;

  mutable std::mutex mutex_;
  std::condition_variable work_available_;
  batch_scheduler scheduler_;
  prefix_cache cache_;
  // Requests whose `max_tokens` is less than their output length.
  std::set<generation_id> length_limited_;
  // Requests that make the process exit instead of producing their first token.
  std::set<generation_id> crash_requests_;
  // Hash of the prompt of each accepted request.
  std::map<generation_id, std::string> prompts_;
  std::uint64_t accepted_ = 0;
  std::uint64_t declined_ = 0;
  std::uint64_t duplicates_ = 0;
  std::uint64_t orphans_cancelled_ = 0;

  std::thread step_thread_;
  std::thread housekeeping_thread_;
};

}  // namespace tarragon::fakes

#endif  // TARRAGON_FAKES_FAKE_ENDPOINT_ENGINE_H_
