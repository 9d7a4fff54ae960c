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

/** Events of one read from an engine. */
struct event_batch {
  /** Bytes of the events that the caller does not have yet. */
  std::string bytes;
  /** Number of events that arrived. */
  std::size_t events = 0;
};

/** Position and timing of one stream on its way to the caller, over all engines that make it. */
class stream_progress final {
 public:
  /** The caller has all events up to this one. */
  void StartBehind(std::optional<std::uint64_t> last_event) { last_event_ = last_event; }

  /** The request goes to a further engine, whose stream begins behind the last event. */
  void BeginSend();

  /** @return the events that are complete now; empty if the bytes are no event stream. */
  std::optional<event_batch> Feed(std::string_view bytes);

  /**
   * Counts events that were passed on.
   * @return time since the events before; empty for the first ones of the stream.
   */
  std::optional<duration> NoteArrival(time_point now, const event_batch& batch);

  /** @return whether the present engine has not sent an event. */
  bool awaits_first_of_send() const { return events_in_send_ == 0; }
  bool has_begun() const { return last_arrival_.has_value(); }
  bool ends_inside_event() const { return splitter_.has_partial_event(); }
  std::optional<std::uint64_t> last_event() const { return last_event_; }
  std::uint64_t events_sent() const { return events_sent_; }
  duration longest_pause() const { return longest_pause_; }

 private:
  http::event_splitter splitter_;
  std::optional<std::uint64_t> last_event_;
  std::uint64_t events_sent_ = 0;
  std::uint64_t events_in_send_ = 0;
  std::optional<time_point> last_arrival_;
  duration longest_pause_{0};
};

}  // namespace tarragon::gateway

#endif  // TARRAGON_GATEWAY_STREAM_PROGRESS_H_
