#include "tarragon/routing/event_interval_tracker.h"

#include <algorithm>

namespace tarragon::routing {

void event_interval_tracker::Record(time_point now, duration interval, std::uint32_t running) {
  if (count_ > 0 && now < last_at_ + kMinSampleSpacing) {
    return;
  }
  last_at_ = now;
  const double batch_growth = 1 + kGrowthPerGeneration * running;
  samples_[count_ % kSamples] = std::chrono::duration_cast<duration>(interval / batch_growth);
  ++count_;
  if (count_ >= kMinSamples) {
    own_estimate_ = ComputeBaseInterval();
  }
}

duration event_interval_tracker::ComputeBaseInterval() const {
  const std::size_t size = std::min(count_, kSamples);
  std::array<duration, kSamples> sorted = samples_;
  const auto quantile =
      sorted.begin() + static_cast<std::ptrdiff_t>(kBaseQuantile * static_cast<double>(size));
  std::nth_element(sorted.begin(), quantile, sorted.begin() + static_cast<std::ptrdiff_t>(size));
  return *quantile;
}

std::optional<duration> event_interval_tracker::Estimate() const {
  return own_estimate_ ? own_estimate_ : peer_estimate_;
}

}  // namespace tarragon::routing
