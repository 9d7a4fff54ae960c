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

auto MakeHistogram(const decaying_histogram::options& settings) {
  return bh::make_histogram_with(std::vector<double>(),
                                 log_axis(settings.bins, settings.lowest, settings.highest));
}

}  // namespace

struct decaying_histogram::state {
  explicit state(const options& initial) : settings(initial), bins(MakeHistogram(initial)) {
    // Each edge of a logarithmic axis costs an exponential, so the edges are computed once. Values
    // below the axis lie above zero; values above the axis are assumed to be at most twice its end.
    edges.push_back(0);
    for (int i = 0; i < bins.axis().size(); ++i) {
      edges.push_back(bins.axis().bin(i).lower());
    }
    edges.push_back(initial.highest);
    edges.push_back(2 * initial.highest);
  }

  struct bin_range {
    double lower = 0;
    double upper = 0;
    double weight = 0;
  };

  /** @param i from -1 (below the axis) to the number of bins (above the axis). */
  bin_range Range(int i) const {
    const std::size_t edge = static_cast<std::size_t>(i) + 1;
    return {edges[edge], edges[edge + 1], bins.at(i)};
  }

  /** @return the bin that contains `floor`, and its weight above `floor`. */
  std::pair<int, double> FirstAbove(double floor) const {
    const int first = floor < settings.lowest ? -1 : bins.axis().index(floor);
    const bin_range range = Range(first);
    const double part = (range.upper - floor) / (range.upper - range.lower);
    return {first, range.weight * std::clamp(part, 0.0, 1.0)};
  }

  options settings;
  decltype(MakeHistogram(std::declval<options>())) bins;
  std::vector<double> edges;
  double weight = 0;
};

decaying_histogram::decaying_histogram(const options& settings)
    : state_(std::make_unique<state>(settings)) {}
decaying_histogram::decaying_histogram(decaying_histogram&&) noexcept = default;
decaying_histogram& decaying_histogram::operator=(decaying_histogram&&) noexcept = default;
decaying_histogram::~decaying_histogram() = default;

void decaying_histogram::Record(double sample) {
  // The logarithm of zero is undefined, so small samples are raised to a value below the axis.
  state_->bins(std::max(sample, state_->settings.lowest / 2));
  state_->weight += 1;
  if (state_->weight >= state_->settings.halving_weight) {
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
  double remaining_weight = std::clamp(q, 0.0, 1.0) * total;
  double result = floor;
  for (int i = first; i <= state_->bins.axis().size(); ++i) {
    const state::bin_range range = state_->Range(i);
    const double lower = std::max(range.lower, floor);
    const double weight = i == first ? first_weight : range.weight;
    if (weight <= 0) {
      continue;
    }
    result = lower + (range.upper - lower) * std::min(remaining_weight / weight, 1.0);
    if (remaining_weight <= weight) {
      break;
    }
    remaining_weight -= weight;
  }
  TARRAGON_INVARIANT(result >= floor, "quantile is below floor");
  return result;
}

}  // namespace tarragon::policy
