#ifndef TARRAGON_POLICY_IN_FLIGHT_HISTORY_H_
#define TARRAGON_POLICY_IN_FLIGHT_HISTORY_H_

#include <boost/circular_buffer.hpp>
#include <cstddef>
#include <cstdint>

#include "tarragon/base/clock.h"

namespace tarragon::policy {

/**
 * Recent values of a counter, such as this entry's requests in flight at one endpoint. Gives the
 * value at the time at which a delayed load report was measured.
 */
class in_flight_history final {
 public:
  /**
   * @param resolution changes within this time share one sample, which bounds the memory.
   * @param capacity number of samples kept; they cover at least `resolution * capacity / 2`.
   */
  explicit in_flight_history(duration resolution = std::chrono::milliseconds(20),
                             std::size_t capacity = 512);

  /** Records the value that holds from `now` on. `now` must not decrease between calls. */
  void Record(time_point now, std::uint64_t value);

  /** @return value at `when`; the oldest recorded value if `when` is earlier; 0 if none exists. */
  std::uint64_t At(time_point when) const;

  std::uint64_t Latest() const;

 private:
  struct sample {
    time_point since;
    std::uint64_t value = 0;
  };

  duration resolution_;
  boost::circular_buffer<sample> samples_;
};

}  // namespace tarragon::policy

#endif  // TARRAGON_POLICY_IN_FLIGHT_HISTORY_H_
