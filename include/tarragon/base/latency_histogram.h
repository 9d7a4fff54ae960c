#ifndef TARRAGON_BASE_LATENCY_HISTOGRAM_H_
#define TARRAGON_BASE_LATENCY_HISTOGRAM_H_

#include <cstdint>
#include <memory>
#include <vector>

#include "tarragon/base/clock.h"

namespace tarragon {

/** Histogram of durations from 10 microseconds to 1,000 seconds. Thread-safe. */
class latency_histogram final {
 public:
  /** Upper bound of a bin and the number of samples below the bound. */
  struct cumulative_bin {
    duration upper_bound;
    std::uint64_t count;
  };

  latency_histogram();
  ~latency_histogram();

  void Record(duration sample);

  std::uint64_t Count() const;
  duration Sum() const;

  /** @param q quantile in [0, 1]. @return upper bound of the bin that holds it; zero without
   * samples. */
  duration Quantile(double q) const;

  /** @return bins in ascending order; the count of the last one includes every sample. */
  std::vector<cumulative_bin> Cumulative() const;

 private:
  struct state;
  std::unique_ptr<state> state_;
};

}  // namespace tarragon

#endif  // TARRAGON_BASE_LATENCY_HISTOGRAM_H_
