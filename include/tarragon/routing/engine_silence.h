#ifndef TARRAGON_ROUTING_ENGINE_SILENCE_H_
#define TARRAGON_ROUTING_ENGINE_SILENCE_H_

#include <cstdint>

#include "tarragon/base/clock.h"

namespace tarragon::routing {

/**
 * Finds the times in which an engine sent no event to any of this daemon's running streams. What
 * waited meanwhile, as a stream before its first event, was held up and not slow.
 */
class engine_silence final {
 public:
  /** A stream has had its first event; `OnEvent` is called before. */
  void OnStreamBegun() { ++running_streams_; }
  /** A stream that has begun is not waited for any more. */
  void OnStreamEnded();
  void OnEvent(time_point now);

  /** @return the part of the last silence between the two times, at most that of a sound engine. */
  duration Within(time_point from, time_point to) const;

 private:
  std::uint32_t running_streams_ = 0;
  time_point last_event_at_;
  time_point silence_start_;
  time_point silence_end_;
};

}  // namespace tarragon::routing

#endif  // TARRAGON_ROUTING_ENGINE_SILENCE_H_
