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
  // Keeps the newest sample that is old enough, because Report() returns it.
  while (samples_.size() > 1 && now - samples_[1].recorded_at >= lag_) {
    samples_.pop_front();
  }
}

nlohmann::json load_reporter::Report(time_point now) const {
  std::lock_guard lock(mutex_);
  if (samples_.empty()) {
    return nullptr;
  }
  const auto first_too_new = std::ranges::find_if(
      samples_, [&](const sample& item) { return now - item.recorded_at < lag_; });
  const sample& reported =
      first_too_new == samples_.begin() ? samples_.front() : *std::prev(first_too_new);
  nlohmann::json report = reported.load;
  report["sequence"] = reported.sequence;
  report["age_ms"] =
      std::chrono::duration_cast<std::chrono::milliseconds>(now - reported.recorded_at).count();
  return report;
}

}  // namespace tarragon::fakes
