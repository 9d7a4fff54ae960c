#ifndef TARRAGON_ROUTING_GENERATION_PACE_H_
#define TARRAGON_ROUTING_GENERATION_PACE_H_

#include <optional>

#include "tarragon/base/clock.h"

namespace tarragon::routing {

/** Largest of the durations that were recorded within the last one to two windows. */
class recent_maximum final {
 public:
  void Record(time_point now, duration value);
  /** @return the maximum; empty if nothing was recorded lately. */
  std::optional<duration> Get(time_point now) const;

 private:
  /** Other workloads on an engine's machine slow it down several times within this time. */
  static constexpr duration kWindow = std::chrono::seconds(10);

  time_point window_start_;
  std::optional<duration> current_;
  std::optional<duration> previous_;
};

/** Slowest pace at which the engines of a service have produced generations lately. */
class generation_pace final {
 public:
  /** @param delay time from a send to its first event: queueing, prefill and the first event. */
  void RecordFirstEvent(time_point now, duration delay) { first_event_.Record(now, delay); }
  /** @param interval mean time between the events of one generation. */
  void RecordInterval(time_point now, duration interval) { interval_.Record(now, interval); }

  std::optional<duration> SlowestFirstEvent(time_point now) const { return first_event_.Get(now); }
  std::optional<duration> SlowestInterval(time_point now) const { return interval_.Get(now); }

 private:
  recent_maximum first_event_;
  recent_maximum interval_;
};

}  // namespace tarragon::routing

#endif  // TARRAGON_ROUTING_GENERATION_PACE_H_
