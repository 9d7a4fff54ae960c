#include "tarragon/gateway/stream_progress.h"

#include <algorithm>
#include <ranges>
#include <string_view>
#include <vector>

#include "tarragon/routing/sound_silence.h"

namespace tarragon::gateway {

namespace {

/** @return whether all lines of the event are comments, which carry no part of the answer. */
bool IsComment(std::string_view event) {
  const auto is_comment_line = [](auto line) {
    const std::string_view text(line.begin(), line.end());
    return text.empty() || text == "\r" || text.starts_with(':');
  };
  return std::ranges::all_of(event | std::views::split('\n'), is_comment_line);
}

}  // namespace

void stream_progress::BeginSend() {
  splitter_ = {};
  is_continued_ = events_sent_ > 0;
  events_in_send_ = 0;
}

std::optional<event_batch> stream_progress::Feed(std::string_view bytes) {
  std::vector<http::raw_event> events;
  if (!splitter_.Feed(bytes, events)) {
    return std::nullopt;
  }
  const auto is_foreign = [](const http::raw_event& event) {
    return !event.id && !IsComment(event.bytes);
  };
  if (is_continued_ && std::ranges::any_of(events, is_foreign)) {
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
    longest_pause_in_send_ = duration::zero();
  } else {
    longest_pause_in_send_ = std::max(longest_pause_in_send_, *interval);
  }
  events_in_send_ += batch.events;
  return interval;
}

std::optional<duration> stream_progress::MeanInterval() const {
  constexpr std::uint64_t kMinEvents = 5;
  if (events_in_send_ < kMinEvents) {
    return std::nullopt;
  }
  const duration span = *last_arrival_ - first_arrival_in_send_;
  const auto intervals = static_cast<duration::rep>(events_in_send_ - 1);
  if (longest_pause_in_send_ < routing::kShortestSilence) {
    return span / intervals;
  }
  const duration silence =
      std::min<duration>(longest_pause_in_send_, routing::kLongestSoundSilence);
  return (span - silence) / (intervals - 1);
}

}  // namespace tarragon::gateway
