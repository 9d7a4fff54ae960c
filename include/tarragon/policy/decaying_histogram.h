#ifndef TARRAGON_POLICY_DECAYING_HISTOGRAM_H_
#define TARRAGON_POLICY_DECAYING_HISTOGRAM_H_

#include <cstddef>
#include <memory>

namespace tarragon::policy {

/**
 * Distribution of positive numbers on a logarithmic axis. Whenever the total weight reaches a
 * bound, all weights are halved, so that the weight of old samples decays.
 */
class decaying_histogram final {
 public:
  struct options {
    double lowest = 1;
    double highest = 131072;
    unsigned bins = 68;
    /** Total weight at which the weights of all samples are halved. */
    double halving_weight = 1024;
  };

  explicit decaying_histogram(const options& settings);
  decaying_histogram(decaying_histogram&&) noexcept;
  decaying_histogram& operator=(decaying_histogram&&) noexcept;
  ~decaying_histogram();

  void Record(double sample);

  /** @return total weight; equals the number of samples until the first halving. */
  double Weight() const;

  /** @return weight of the samples above `floor`, interpolated inside a bin. */
  double WeightAbove(double floor) const;

  /**
   * @param q quantile in [0, 1] among the samples above `floor`.
   * @return the quantile, interpolated inside a bin; 0 if no sample is above `floor`.
   */
  double QuantileAbove(double floor, double q) const;

 private:
  struct state;
  std::unique_ptr<state> state_;
};

}  // namespace tarragon::policy

#endif  // TARRAGON_POLICY_DECAYING_HISTOGRAM_H_
