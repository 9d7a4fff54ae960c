#include "tarragon/base/latency_histogram.h"

#include <algorithm>
#include <boost/histogram.hpp>
#include <iterator>
#include <mutex>

#include "base/latency_bounds.h"

namespace tarragon {

namespace {

using bound_axis = boost::histogram::axis::variable<double>;

auto MakeHistogram() {
  std::vector<double> edges;
  std::ranges::transform(LatencyBounds(), std::back_inserter(edges), &latency_bound::seconds);
  return boost::histogram::make_histogram(bound_axis(edges));
}

double Seconds(duration d) {
  return std::chrono::duration<double>(d).count();
}

duration FromSeconds(double seconds) {
  return std::chrono::duration_cast<duration>(std::chrono::duration<double>(seconds));
}

}  // namespace

struct latency_histogram::state {
  mutable std::mutex mutex;
  decltype(MakeHistogram()) bins = MakeHistogram();
  std::uint64_t count = 0;
  duration sum{0};
};

latency_histogram::latency_histogram() : state_(std::make_unique<state>()) {}
latency_histogram::~latency_histogram() = default;

void latency_histogram::Record(duration sample) {
  std::lock_guard lock(state_->mutex);
  state_->bins(Seconds(sample));
  state_->count += 1;
  state_->sum += sample;
}

std::uint64_t latency_histogram::Count() const {
  std::lock_guard lock(state_->mutex);
  return state_->count;
}

duration latency_histogram::Sum() const {
  std::lock_guard lock(state_->mutex);
  return state_->sum;
}

duration latency_histogram::Quantile(double q) const {
  const std::vector<cumulative_bin> bins = Cumulative();
  const double target_count = q * static_cast<double>(bins.back().count);
  const auto found = std::ranges::find_if(bins, [target_count](const cumulative_bin& bin) {
    return bin.count > 0 && static_cast<double>(bin.count) >= target_count;
  });
  return found == bins.end() ? duration::zero() : found->upper_bound;
}

std::vector<latency_histogram::cumulative_bin> latency_histogram::Cumulative() const {
  std::lock_guard lock(state_->mutex);
  std::vector<cumulative_bin> result;
  const int bins = state_->bins.axis().size();
  result.reserve(static_cast<std::size_t>(bins) + 1);
  auto total = static_cast<std::uint64_t>(state_->bins.at(-1));
  for (int i = 0; i < bins; ++i) {
    total += static_cast<std::uint64_t>(state_->bins.at(i));
    result.push_back({FromSeconds(state_->bins.axis().bin(i).upper()), total});
  }
  result.push_back({duration::max(), state_->count});
  return result;
}

}  // namespace tarragon
