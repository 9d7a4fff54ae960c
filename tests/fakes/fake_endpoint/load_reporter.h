#ifndef TARRAGON_FAKES_FAKE_ENDPOINT_LOAD_REPORTER_H_
#define TARRAGON_FAKES_FAKE_ENDPOINT_LOAD_REPORTER_H_

#include <cstdint>
#include <deque>
#include <mutex>
#include <nlohmann/json.hpp>

#include "tarragon/base/clock.h"

namespace tarragon::fakes {

/** Reports the load as it was some time ago. Safe from any thread. */
class load_reporter final {
 public:
  /** @param lag age that a report has at least. */
  explicit load_reporter(duration lag);

  /** Keeps the present load. Called at regular intervals, and with a non-decreasing `now`. */
  void Record(time_point now, nlohmann::json load);

  /**
   * @return the newest load that is at least `lag` old, or the oldest one while none is, with
   * `sequence` (rises with each recorded load) and `age_ms` added; null before the first record.
   */
  nlohmann::json Report(time_point now) const;

 private:
  struct sample {
    time_point at;
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
