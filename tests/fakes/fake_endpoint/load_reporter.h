#ifndef TARRAGON_FAKES_FAKE_ENDPOINT_LOAD_REPORTER_H_
#define TARRAGON_FAKES_FAKE_ENDPOINT_LOAD_REPORTER_H_

#include <cstdint>
#include <deque>
#include <mutex>
#include <nlohmann/json.hpp>

#include "tarragon/base/clock.h"

namespace tarragon::fakes {

/** Reports the load with a lag. Thread-safe. */
class load_reporter final {
 public:
  /** @param lag minimum age of a report. */
  explicit load_reporter(duration lag);

  /** Stores the current load. Called at regular intervals with a non-decreasing `now`. */
  void Record(time_point now, nlohmann::json load);

  /**
   * @return the newest load that is at least `lag` old, or the oldest one if none is, with
   * `sequence` (increases with each recorded load) and `age_ms` added; null before the first
   * record.
   */
  nlohmann::json Report(time_point now) const;

 private:
  struct sample {
    time_point recorded_at;
    std::uint64_t sequence = 0;
    nlohmann::json load;
  };

  const duration lag_;
  mutable std::mutex mutex_;
  std::deque<sample> samples_;
  std::uint64_t next_sequence_ = 1;
};

}  // namespace tarragon::fakes

#endif  // TARRAGON_FAKES_FAKE_ENDPOINT_LOAD_REPORTER_H_
