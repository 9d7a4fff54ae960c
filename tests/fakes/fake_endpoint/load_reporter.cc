#include "fakes/fake_endpoint/load_reporter.h"

#include <algorithm>
#include <chrono>
#include <iterator>
#include <utility>

namespace tarragon::fakes {

load_reporter::load_reporter(duration lag) : lag_(lag) {}

void load_reporter::Record(time_point now, nlohmann::json load) {
  std::lock_guard lock(mutex_);
  samples_.push_back({now, next_sequence_++, std::move(load)});
  // The newest sample that is old enough stays, because it is the one that is reported.
  while (samples_.size() > 1 && now - samples_[1].at >= lag_) {
    samples_.pop_front();
  }
}

nlohmann::json load_reporter::Report(time_point now) const {
  std::lock_guard lock(mutex_);
  if (samples_.empty()) {
    return nullptr;
  }
  const auto first_too_new =
      std::ranges::find_if(samples_, [&](const sample& item) { return now - item.at < lag_; });
  const sample& shown =
      first_too_new == samples_.begin() ? samples_.front() : *std::prev(first_too_new);
  nlohmann::json report = shown.load;
  report["sequence"] = shown.sequence;
  report["age_ms"] = std::chrono::duration_cast<std::chrono::milliseconds>(now - shown.at).count();
  return report;
}

}  // namespace tarragon::fakes
