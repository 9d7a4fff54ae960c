#ifndef TARRAGON_GATEWAY_STREAM_PROGRESS_H_
#define TARRAGON_GATEWAY_STREAM_PROGRESS_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "tarragon/base/clock.h"
#include "tarragon/http/event_splitter.h"

namespace tarragon::gateway {

/** Events completed by one read from an engine. */
struct event_batch {
  /** Bytes of the events that the caller has not received yet. */
  std::string bytes;
  /** Number of events read, including those that the caller has. */
  std::size_t events = 0;
};

/** Position and timing of one caller's stream, across all engines that produce it. */
class stream_progress final {
 public:
  /** @param last_event id of the last event that the caller has received. */
  void StartAfter(std::optional<std::uint64_t> last_event) { last_event_ = last_event; }

  /** Starts the stream of the next engine, which continues after the last event. */
  void BeginSend();

  /**
   * @return the events completed by `bytes`; empty if the bytes are no valid event stream. Where
   *     another engine's stream is continued, events need ids, which tell them from an error's
   * text.
   */
  std::optional<event_batch> Feed(std::string_view bytes);

  /**
   * Records the arrival of events.
   * @return time since the previous events; empty for the first events of the stream.
   */
  std::optional<duration> RecordArrival(time_point now, const event_batch& batch);

  /** @return whether the current engine has not sent an event yet. */
  bool is_awaiting_first_event() const { return events_in_send_ == 0; }
  bool has_begun() const { return last_arrival_.has_value(); }
  /** @return when the last events arrived; empty before the first ones. */
  std::optional<time_point> last_arrival() const { return last_arrival_; }
  /**
   * @return mean time between the events of the current engine without its longest silence; empty
   *     if there are too few.
   */
  std::optional<duration> MeanInterval() const;
  bool has_partial_event() const { return splitter_.has_partial_event(); }
  std::optional<std::uint64_t> last_event() const { return last_event_; }
  std::uint64_t events_sent() const { return events_sent_; }
  duration longest_pause() const { return longest_pause_; }

 private:
  http::event_splitter splitter_;
  std::optional<std::uint64_t> last_event_;
  std::uint64_t events_sent_ = 0;
  std::uint64_t events_in_send_ = 0;
  /** The caller has got events from an earlier engine. */
  bool is_continued_ = false;
  time_point first_arrival_in_send_;
  std::optional<time_point> last_arrival_;
  duration longest_pause_{0};
  duration longest_pause_in_send_{0};
};

}  // namespace tarragon::gateway

#endif  // TARRAGON_GATEWAY_STREAM_PROGRESS_H_
