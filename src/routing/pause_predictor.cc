#include "tarragon/routing/pause_predictor.h"

#include <algorithm>
#include <array>
#include <cstddef>

namespace tarragon::routing {

namespace {

/** Engines whose paces are compared; more do not change the median. */
constexpr std::size_t kMaxCompared = 64;

duration Scale(duration pace, double factor) {
  return std::chrono::duration_cast<duration>(pace * factor);
}

}  // namespace

pause_predictor::pause_predictor(const std::vector<endpoint_ptr>& engines) {
  std::array<duration, kMaxCompared> units{};
  std::size_t known = 0;
  for (const endpoint_ptr& engine : engines) {
    const std::optional<duration> pace = engine->pace.Get();
    const std::optional<double> slowness = engine->slowness.Least();
    if (pace && slowness && known < kMaxCompared) {
      units[known++] = Scale(*pace, 1 / *slowness);
    }
  }
  if (known > 0) {
    // An early pace is too long if all its intervals fell into a slow moment; the median is not.
    const auto middle = units.begin() + static_cast<std::ptrdiff_t>(known / 2);
    std::nth_element(units.begin(), middle, units.begin() + static_cast<std::ptrdiff_t>(known));
    unit_pace_ = *middle;
  }
}

std::optional<duration> pause_predictor::LongestPause(const endpoint& engine) const {
  const std::optional<duration> pace = engine.pace.Get();
  const std::optional<double> slowness = engine.slowness.Least();
  if (slowness && unit_pace_ && !engine.pace.IsSettled()) {
    return Scale(*unit_pace_, *slowness * kWorstIntervalFactor);
  }
  return pace ? std::optional(Scale(*pace, kWorstIntervalFactor)) : std::nullopt;
}

}  // namespace tarragon::routing
