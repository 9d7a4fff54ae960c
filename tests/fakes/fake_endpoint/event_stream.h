#ifndef TARRAGON_FAKES_FAKE_ENDPOINT_EVENT_STREAM_H_
#define TARRAGON_FAKES_FAKE_ENDPOINT_EVENT_STREAM_H_

#include <httplib.h>

#include <cstdint>
#include <string>

#include "fakes/fake_endpoint/fault_state.h"
#include "fakes/fake_endpoint/generation_store.h"
#include "tarragon/base/clock.h"

namespace tarragon::fakes {

/** Sends the tokens of one generation from an index on as server-sent events to one connection. */
class event_stream final {
 public:
  /**
   * @param reported_id generation id in the events; not that of the source for a `crossed` fault.
   * @param time, faults outlive the stream.
   */
  event_stream(generation_ptr source,
               generation_id reported_id,
               std::uint32_t from,
               duration link_delay,
               const clock& time,
               const fault_state& faults);
  ~event_stream();
  event_stream(const event_stream&) = delete;
  event_stream& operator=(const event_stream&) = delete;

  /** Waits for tokens and sends them. @return false if the connection is closed. */
  bool SendNext(httplib::DataSink& sink);

 private:
  std::string TokenEvent(const std::string& finish_reason) const;
  bool SendEnd(httplib::DataSink& sink, const generation_progress& progress);

  const generation_ptr source_;
  const generation_id reported_id_;
  std::uint32_t next_index_;
  const duration link_delay_;
  const clock& clock_;
  const fault_state& faults_;
  time_point last_write_;
};

/** @return JSON of one token or of the end of a generation, sent after `data: `. */
std::string ChoiceJson(const generation_id& id,
                       const std::string& text,
                       const std::string& finish_reason);

}  // namespace tarragon::fakes

#endif  // TARRAGON_FAKES_FAKE_ENDPOINT_EVENT_STREAM_H_
