#include "tarragon/policy/decaying_histogram.h"

#include <algorithm>
#include <boost/histogram.hpp>
#include <utility>
#include <vector>

#include "tarragon/base/invariant.h"

namespace tarragon::policy {

namespace {

namespace bh = boost::histogram;
using log_axis = bh::axis::regular<double, bh::axis::transform::log>;

auto MakeHistogram(const decaying_histogram::shape& axis) {
  return bh::make_histogram_with(std::vector<double>(),
                                 log_axis(axis.bins, axis.lowest, axis.highest));
}

}  // namespace

struct decaying_histogram::state {
  explicit state(const shape& axis) : settings(axis), bins(MakeHistogram(axis)) {}

  struct bin_range {
    double lower = 0;
    double upper = 0;
    double weight = 0;
  };

  /** @param i from -1 (below the axis) to the number of bins (above the axis). */
  bin_range Range(int i) const {
    const double weight = bins.at(i);
    if (i < 0) {
      return {0, settings.lowest, weight};
    }
    if (i >= bins.axis().size()) {
      // Values above the axis are taken to lie within the next factor of two.
      return {settings.highest, 2 * settings.highest, weight};
    }
    return {bins.axis().bin(i).lower(), bins.axis().bin(i).upper(), weight};
  }

  /** Bin that holds `floor`, and its weight above `floor`. */
  std::pair<int, double> FirstAbove(double floor) const {
    const int first = floor < settings.lowest ? -1 : bins.axis().index(floor);
    const bin_range range = Range(first);
    const double part = (range.upper - floor) / (range.upper - range.lower);
    return {first, range.weight * std::clamp(part, 0.0, 1.0)};
  }

  shape settings;
  decltype(MakeHistogram(std::declval<shape>())) bins;
  double weight = 0;
};

decaying_histogram::decaying_histogram(const shape& axis) : state_(std::make_unique<state>(axis)) {}
decaying_histogram::decaying_histogram(decaying_histogram&&) noexcept = default;
decaying_histogram& decaying_histogram::operator=(decaying_histogram&&) noexcept = default;
decaying_histogram::~decaying_histogram() = default;

void decaying_histogram::Record(double sample) {
  // A logarithmic axis has no bin for zero.
  state_->bins(std::max(sample, state_->settings.lowest / 2));
  state_->weight += 1;
  if (state_->weight >= state_->settings.halve_at) {
    state_->bins *= 0.5;
    state_->weight *= 0.5;
  }
}

double decaying_histogram::Weight() const {
  return state_->weight;
}

double decaying_histogram::WeightAbove(double floor) const {
  auto [bin, weight] = state_->FirstAbove(floor);
  for (int i = bin + 1; i <= state_->bins.axis().size(); ++i) {
    weight += state_->bins.at(i);
  }
  return weight;
}

double decaying_histogram::QuantileAbove(double floor, double q) const {
  const double total = WeightAbove(floor);
  if (total <= 0) {
    return 0;
  }
  const auto [first, first_weight] = state_->FirstAbove(floor);
  double wanted = std::clamp(q, 0.0, 1.0) * total;
  double result = floor;
  for (int i = first; i <= state_->bins.axis().size(); ++i) {
    const state::bin_range range = state_->Range(i);
    const double lower = std::max(range.lower, floor);
    const double weight = i == first ? first_weight : range.weight;
    if (weight <= 0) {
      continue;
    }
    result = lower + (range.upper - lower) * std::min(wanted / weight, 1.0);
    if (wanted <= weight) {
      break;
    }
    wanted -= weight;
  }
  TARRAGON_INVARIANT(result >= floor, "quantile below its condition");
  return result;
}

}  // namespace tarragon::policy
