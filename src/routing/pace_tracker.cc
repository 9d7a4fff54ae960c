#include "tarragon/routing/pace_tracker.h"

#include <algorithm>

namespace tarragon::routing {

void pace_tracker::Record(time_point now, duration interval, std::uint32_t running) {
  if (count_ > 0 && now < last_at_ + kSpacing) {
    return;
  }
  last_at_ = now;
  const double growth = 1 + kGrowthPerGeneration * running;
  samples_[count_ % kSamples] = std::chrono::duration_cast<duration>(interval / growth);
  ++count_;
  if (count_ >= kMinSamples) {
    own_ = LowQuantile();
  }
}

duration pace_tracker::LowQuantile() const {
  const std::size_t size = std::min(count_, kSamples);
  std::array<duration, kSamples> sorted = samples_;
  const auto place =
      sorted.begin() + static_cast<std::ptrdiff_t>(kShortShare * static_cast<double>(size));
  std::nth_element(sorted.begin(), place, sorted.begin() + static_cast<std::ptrdiff_t>(size));
  return *place;
}

std::optional<duration> pace_tracker::Get() const {
  return own_ ? own_ : told_;
}

}  // namespace tarragon::routing
