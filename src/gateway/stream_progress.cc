#include "tarragon/gateway/stream_progress.h"

#include <algorithm>
#include <vector>

namespace tarragon::gateway {

void stream_progress::BeginSend() {
  splitter_ = {};
  events_in_send_ = 0;
}

std::optional<event_batch> stream_progress::Feed(std::string_view bytes) {
  std::vector<http::raw_event> events;
  if (!splitter_.Feed(bytes, events)) {
    return std::nullopt;
  }
  event_batch batch;
  batch.events = events.size();
  for (const http::raw_event& event : events) {
    if (event.id && last_event_ && *event.id <= *last_event_) {
      continue;
    }
    if (event.id) {
      last_event_ = event.id;
    }
    ++events_sent_;
    batch.bytes += event.bytes;
  }
  return batch;
}

std::optional<duration> stream_progress::RecordArrival(time_point now, const event_batch& batch) {
  std::optional<duration> interval;
  if (last_arrival_) {
    interval = now - *last_arrival_;
    longest_pause_ = std::max(longest_pause_, *interval);
  }
  last_arrival_ = now;
  if (events_in_send_ == 0) {
    first_arrival_in_send_ = now;
  }
  events_in_send_ += batch.events;
  return interval;
}

std::optional<duration> stream_progress::MeanInterval() const {
  constexpr std::uint64_t kMinEvents = 5;
  if (events_in_send_ < kMinEvents) {
    return std::nullopt;
  }
  return (*last_arrival_ - first_arrival_in_send_) /
         static_cast<duration::rep>(events_in_send_ - 1);
}

}  // namespace tarragon::gateway
