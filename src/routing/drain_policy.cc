#include "tarragon/routing/drain_policy.h"

#include <algorithm>
#include <cstdint>
#include <optional>
#include <ranges>

#include "tarragon/routing/sound_silence.h"

namespace tarragon::routing {

namespace {

/** Decode step with some other generations in flight; the data sheets give 7 ms and more. */
constexpr std::chrono::milliseconds kUsualTimePerToken{11};
/** Decode step of a service of which nothing is known. */
constexpr std::chrono::milliseconds kUnknownTimePerToken{30};
/** Prefill speed in the data sheets, shared with other prompts. */
constexpr std::chrono::microseconds kPrefillTimePerToken{150};
/** Connecting, queueing and the first decode step. */
constexpr std::chrono::milliseconds kStartLatency{300};
/** Batches may become larger, and engines slower, than those seen. */
constexpr double kMargin = 1.3;
/** Growth of the interval in a full batch against that of a stream that runs alone. */
constexpr double kFullBatchGrowth = 1.4;

duration Scale(duration time, double factor) {
  return std::chrono::duration_cast<duration>(time * factor);
}

/** @return the longest interval between events that any daemon expects of an engine in use. */
std::optional<duration> SlowestEstimate(const std::vector<endpoint_ptr>& engines) {
  std::optional<duration> slowest;
  for (const endpoint_ptr& engine : engines) {
    const std::optional<duration> estimate = engine->event_interval.Estimate();
    if (engine->accepts_work() && estimate) {
      slowest = std::max(*estimate, slowest.value_or(*estimate));
    }
  }
  return slowest;
}

}  // namespace

pace_bounds BoundPace(time_point now,
                      const generation_pace& pace,
                      const std::vector<endpoint_ptr>& engines) {
  const std::optional<duration> estimate = SlowestEstimate(engines);
  const std::optional<duration> seen = pace.SlowestInterval(now);
  pace_bounds bounds{.start = kStartLatency,
                     .per_token = kUsualTimePerToken,
                     .per_prompt_token = kPrefillTimePerToken};
  if (!estimate && !seen) {
    bounds.per_token = kUnknownTimePerToken;
  }
  bounds.per_token = std::max({bounds.per_token, Scale(seen.value_or(duration::zero()), kMargin),
                               Scale(estimate.value_or(duration::zero()), kFullBatchGrowth)});
  const duration first_event = pace.SlowestFirstEvent(now).value_or(duration::zero());
  bounds.start = std::max<duration>(bounds.start, Scale(first_event, kMargin));
  return bounds;
}

std::chrono::milliseconds MaxGenerationDuration(const work_size& size, const pace_bounds& bounds) {
  const auto time = [](duration each,
                       std::uint32_t count) -> std::chrono::duration<double, std::milli> {
    return std::chrono::duration<double, std::milli>(each) * count;
  };
  return std::chrono::ceil<std::chrono::milliseconds>(
      bounds.start + time(bounds.per_prompt_token, size.prompt_tokens) +
      time(bounds.per_token, size.max_output_tokens));
}

std::chrono::milliseconds MaxTimeNeeded(const route& rule,
                                        const work_size& size,
                                        const pace_bounds& bounds,
                                        std::chrono::milliseconds time_allowed) {
  const bool has_known_size = size.max_output_tokens > 0;
  if (rule.kind != repeat_kind::kStream || !has_known_size) {
    return time_allowed;
  }
  return std::min(MaxGenerationDuration(size, bounds) + kLongestSoundSilence, time_allowed);
}

bool CanFinishInTime(const route& rule,
                     const work_size& size,
                     const pace_bounds& bounds,
                     std::chrono::milliseconds time_allowed,
                     std::chrono::milliseconds remaining_time) {
  return MaxTimeNeeded(rule, size, bounds, time_allowed) < remaining_time;
}

}  // namespace tarragon::routing
