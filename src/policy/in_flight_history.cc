#include "tarragon/policy/in_flight_history.h"

#include <algorithm>

#include "tarragon/base/invariant.h"

namespace tarragon::policy {

in_flight_history::in_flight_history(duration resolution, std::size_t capacity)
    : resolution_(resolution), samples_(std::max<std::size_t>(capacity, 2)) {}

void in_flight_history::Record(time_point now, std::uint64_t value) {
  TARRAGON_INVARIANT(samples_.empty() || now >= samples_.back().since,
                     "now is before the last sample");
  // A sample is overwritten only if `now` is close to the sample before it. Comparing with the last
  // sample itself would let steady changes overwrite it forever and leave no history.
  const bool shares_sample =
      samples_.size() >= 2 && now - samples_[samples_.size() - 2].since < resolution_;
  if (shares_sample) {
    samples_.back().value = value;
    return;
  }
  samples_.push_back({now, value});
}

std::uint64_t in_flight_history::At(time_point when) const {
  if (samples_.empty()) {
    return 0;
  }
  const auto after = std::ranges::upper_bound(samples_, when, {}, &sample::since);
  return after == samples_.begin() ? samples_.front().value : std::prev(after)->value;
}

std::uint64_t in_flight_history::Latest() const {
  return samples_.empty() ? 0 : samples_.back().value;
}

}  // namespace tarragon::policy
