#include "fakes/fake_endpoint/engine.h"

#include <fmt/format.h>

#include <algorithm>
#include <cstdlib>
#include <limits>
#include <utility>

#include "fakes/fake_endpoint/output_length.h"
#include "tarragon/base/hash.h"
#include "tarragon/base/log.h"

namespace tarragon::fakes {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds kHousekeepingInterval{20};
// Section 11 of the design page: a generation can be resumed for 60 s after its end.
constexpr std::chrono::seconds kRetention{60};

std::int64_t CountMilliseconds(duration time) {
  return std::chrono::duration_cast<milliseconds>(time).count();
}

nlohmann::json ToJson(const generation_summary& summary) {
  return {{"id", summary.id},
          {"tokens", summary.tokens},
          {"prompt_tokens", summary.prompt_tokens},
          {"priority", summary.priority},
          {"attached", summary.attached},
          {"state", ToString(summary.state)}};
}

}  // namespace

engine::engine(engine_options options,
               const clock& time,
               fault_state& faults,
               desired_state& desired)
    : options_(options),
      clock_(time),
      faults_(faults),
      desired_(desired),
      store_(kRetention),
      reporter_(options.report_lag),
      scheduler_(options.limits),
      cache_(options.cache_blocks, options.cache_event_gap_share, options.seed) {
  reporter_.Record(clock_.Now(), CurrentLoad());
  step_thread_ = std::thread([this] { RunSteps(); });
  housekeeping_thread_ = std::thread([this] { RunHousekeeping(); });
}

engine::~engine() {
  {
    std::lock_guard lock(mutex_);
    stopping_ = true;
  }
  work_available_.notify_all();
  step_thread_.join();
  housekeeping_thread_.join();
}

submit_result engine::Submit(const engine_request& request) {
  const served_state serving = desired_.Serving();
  const bool has_adapter =
      request.adapter.empty() ||
      std::ranges::find(serving.adapters, request.adapter) != serving.adapters.end();
  std::lock_guard lock(mutex_);
  const time_point now = clock_.Now();
  if ((!request.model.empty() && request.model != serving.model) || !has_adapter) {
    return {engine_outcome::kNotServed, nullptr};
  }
  if ((loading_ && options_.load_blocks) || faults_.IsLeaveGraceOver(now)) {
    ++declined_;
    return {engine_outcome::kDeclined, nullptr};
  }
  const auto prompt_tokens = static_cast<std::uint32_t>(SplitWords(request.prompt).size());
  generation_ptr added = store_.Add(request.id, prompt_tokens, request.priority, now);
  if (!added) {
    ++duplicates_;
    return {engine_outcome::kDuplicate, nullptr};
  }
  const std::uint32_t output_length = OutputLength(request.prompt);
  const std::uint32_t max_tokens =
      request.max_tokens.value_or(std::numeric_limits<std::uint32_t>::max());
  const submit_outcome outcome =
      scheduler_.Submit({.id = request.id,
                         .priority = request.priority,
                         .prompt_tokens = prompt_tokens,
                         .cached_tokens = cache_.Access(request.prompt, now),
                         .output_tokens = std::min(output_length, max_tokens)});
  if (outcome != submit_outcome::kAccepted) {
    store_.Remove(request.id);
    declined_ += outcome == submit_outcome::kDeclined ? 1 : 0;
    return {
        outcome == submit_outcome::kDeclined ? engine_outcome::kDeclined : engine_outcome::kTooLong,
        nullptr};
  }
  ++accepted_;
  prompts_.emplace(request.id, fmt::format("{:016x}", Hash64(request.prompt)));
  if (max_tokens < output_length) {
    length_limited_.insert(request.id);
  }
  if (faults_.ShouldCrashOn(request.prompt)) {
    crash_requests_.insert(request.id);
  }
  work_available_.notify_all();
  return {engine_outcome::kAccepted, std::move(added)};
}

std::optional<cancel_result> engine::Cancel(const generation_id& id) {
  const time_point now = clock_.Now();
  const generation_ptr found = store_.Find(id, now);
  if (!found) {
    return std::nullopt;
  }
  std::lock_guard lock(mutex_);
  const cancel_outcome outcome = scheduler_.Cancel(id);
  if (outcome != cancel_outcome::kUnknown) {
    found->End(generation_state::kCancelled, "cancelled", now);
  }
  return cancel_result{outcome != cancel_outcome::kUnknown, outcome == cancel_outcome::kWasRunning,
                       found->Summary()};
}

generation_ptr engine::Find(const generation_id& id) const {
  return store_.Find(id, clock_.Now());
}

std::optional<generation_id> engine::FindOther(const generation_id& id) const {
  const std::vector<generation_summary> all = store_.Summaries();
  const auto other = std::ranges::find_if(all, [&id](const generation_summary& item) {
    return item.id.substr(0, 4) != id.substr(0, 4);
  });
  return other == all.end() ? std::nullopt : std::optional(other->id);
}

nlohmann::json engine::LoadReport() const {
  return reporter_.Report(clock_.Now());
}

nlohmann::json engine::CacheEvents(std::uint64_t after) const {
  nlohmann::json events = nlohmann::json::array();
  std::lock_guard lock(mutex_);
  for (const cache_event& item :
       cache_.EventsAfter(after, clock_.Now() - options_.cache_event_lag)) {
    events.push_back({{"sequence", item.sequence},
                      {"kind", item.kind == cache_event_kind::kStored ? "stored" : "evicted"},
                      {"prefix_hash", fmt::format("{:016x}", item.prefix_hash)}});
  }
  return {{"events", std::move(events)}};
}

nlohmann::json engine::Stats() const {
  nlohmann::json generations = nlohmann::json::array();
  for (const generation_summary& item : store_.Summaries()) {
    generations.push_back(ToJson(item));
  }
  const order_counts orders = desired_.Counts();
  std::lock_guard lock(mutex_);
  const scheduler_state state = scheduler_.State();
  return {{"generations", std::move(generations)},
          {"prompts", prompts_},
          {"accepted", accepted_},
          {"declined", declined_},
          {"duplicates", duplicates_},
          {"orphans_cancelled", orphans_cancelled_},
          {"preemptions", state.preemptions},
          {"stall_ms", CountMilliseconds(state.stall)},
          {"orders",
           {{"applied", orders.applied},
            {"stale_applied", orders.stale_applied},
            {"stale_refused", orders.stale_refused},
            {"loads", orders.loads}}}};
}

void engine::RunSteps() {
  time_point last_step = clock_.Now();
  while (!stopping_) {
    StartStep(last_step);
    std::lock_guard lock(mutex_);
    last_step = clock_.Now();
    DeliverTokens(scheduler_.EndStep(last_step), last_step);
  }
}

// Waits for requests, starts a step and sleeps until its end.
void engine::StartStep(time_point last_step) {
  time_point due;
  {
    std::unique_lock lock(mutex_);
    const bool was_idle = scheduler_.IsIdle();
    work_available_.wait(lock, [this] { return stopping_ || !scheduler_.IsIdle(); });
    const time_point start = was_idle ? clock_.Now() : last_step;
    scheduler_.StartStep(start);
    const double factor = faults_.SlowFactor(start);
    due = start + std::chrono::duration_cast<duration>(scheduler_.StepTime() * factor);
  }
  std::this_thread::sleep_until(due);
  faults_.WaitWhileFrozen(clock_);
}

void engine::DeliverTokens(const std::vector<produced_token>& tokens, time_point now) {
  for (const produced_token& token : tokens) {
    if (crash_requests_.contains(token.id)) {
      LogEvent("died_on_prompt", {{"generation", token.id}});
      std::_Exit(1);
    }
    const generation_ptr target = store_.Find(token.id, now);
    if (!target) {
      continue;
    }
    std::string finish_reason;
    if (token.last) {
      finish_reason = token.truncated || length_limited_.contains(token.id) ? "length" : "stop";
      length_limited_.erase(token.id);
    }
    target->Append(now, std::move(finish_reason));
  }
}

void engine::RunHousekeeping() {
  while (!stopping_) {
    std::this_thread::sleep_for(kHousekeepingInterval);
    faults_.WaitWhileFrozen(clock_);
    reporter_.Record(clock_.Now(), CurrentLoad());
    for (const generation_ptr& orphan : store_.Sweep(clock_.Now(), options_.orphan_limit)) {
      Cancel(orphan->id());
      std::lock_guard lock(mutex_);
      ++orphans_cancelled_;
    }
  }
}

nlohmann::json engine::CurrentLoad() const {
  const served_state serving = desired_.Serving();
  const order last = desired_.LastOrder();
  std::lock_guard lock(mutex_);
  const scheduler_state state = scheduler_.State();
  return {{"running", state.running},
          {"waiting", state.waiting},
          {"kv_tokens_total", options_.limits.kv_tokens},
          {"kv_tokens_used", state.kv_tokens_used},
          {"preemptions", state.preemptions},
          {"stall_ms", CountMilliseconds(state.stall)},
          {"slots", options_.limits.slots},
          {"model", serving.model},
          {"version", serving.version},
          {"adapters", serving.adapters},
          {"role", serving.role},
          {"loading", loading_.load()},
          {"leaving", faults_.IsLeaving()},
          {"order_fencing", last.fencing},
          {"order_document_version", last.document_version}};
}

}  // namespace tarragon::fakes
