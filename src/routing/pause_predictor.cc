#include "tarragon/routing/pause_predictor.h"

#include <algorithm>
#include <array>
#include <cstddef>

namespace tarragon::routing {

namespace {

/** Maximum number of engines in the median; more engines do not change it. */
constexpr std::size_t kMaxCompared = 64;

duration ScaleInterval(duration interval, double factor) {
  return std::chrono::duration_cast<duration>(interval * factor);
}

}  // namespace

pause_predictor::pause_predictor(const std::vector<endpoint_ptr>& engines) {
  std::array<duration, kMaxCompared> unit_intervals{};
  std::size_t sample_count = 0;
  for (const endpoint_ptr& engine : engines) {
    const std::optional<duration> interval = engine->event_interval.Estimate();
    const std::optional<double> slowness = engine->slowness.Minimum();
    if (interval && slowness && sample_count < kMaxCompared) {
      unit_intervals[sample_count++] = ScaleInterval(*interval, 1 / *slowness);
    }
  }
  if (sample_count > 0) {
    // An estimate from few samples is too long if all fell into a slowdown; the median is robust.
    const auto median = unit_intervals.begin() + static_cast<std::ptrdiff_t>(sample_count / 2);
    std::nth_element(unit_intervals.begin(), median,
                     unit_intervals.begin() + static_cast<std::ptrdiff_t>(sample_count));
    unit_interval_ = *median;
  }
}

std::optional<duration> pause_predictor::PredictLongestPause(const endpoint& engine) const {
  const std::optional<duration> interval = engine.event_interval.Estimate();
  const std::optional<double> slowness = engine.slowness.Minimum();
  if (slowness && unit_interval_ && !engine.event_interval.IsSettled()) {
    return ScaleInterval(*unit_interval_, *slowness * kWorstCaseIntervalFactor);
  }
  return interval ? std::optional(ScaleInterval(*interval, kWorstCaseIntervalFactor))
                  : std::nullopt;
}

}  // namespace tarragon::routing
