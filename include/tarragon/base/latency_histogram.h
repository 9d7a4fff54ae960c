#ifndef TARRAGON_BASE_LATENCY_HISTOGRAM_H_
#define TARRAGON_BASE_LATENCY_HISTOGRAM_H_

#include <cstdint>
#include <memory>
#include <vector>

#include "tarragon/base/clock.h"

namespace tarragon {

/** Distribution of durations from 10 microseconds to 1,000 seconds. Safe from any thread. */
class latency_histogram final {
 public:
  /** Upper bound of one bin and the number of samples at or below it. */
  struct cumulative_bin {
    duration upper_bound;
    std::uint64_t count;
  };

  latency_histogram();
  ~latency_histogram();

  void Record(duration sample);

  std::uint64_t Count() const;
  duration Sum() const;

  /** @param q quantile in [0, 1]. @return upper bound of the bin holding it; zero when empty. */
  duration Quantile(double q) const;

  /** @return bins in rising order; the last one holds every sample. */
  std::vector<cumulative_bin> Cumulative() const;

 private:
  struct state;
  std::unique_ptr<state> state_;
};

}  // namespace tarragon

#endif  // TARRAGON_BASE_LATENCY_HISTOGRAM_H_
