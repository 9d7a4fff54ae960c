#include "base/latency_bounds.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace tarragon {

namespace {

constexpr int kDecades = 8;
constexpr int kBinsPerDecade = 20;  // each bin is 12% wide
// Exposes two bounds per decade, to keep scrapes small.
constexpr int kBinsPerExposedBound = 10;
constexpr double kLowestSeconds = 1e-5;
// Thresholds of service-level objectives: an objective is exact only if its threshold is an edge.
// 50 ms: refusals. 53 ms: inter-token latency. 320 ms: first token. 250 and 500 ms: lookups.
constexpr std::array<double, 5> kObjectiveThresholdsSeconds = {0.05, 0.053, 0.25, 0.32, 0.5};

std::vector<latency_bound> MakeBounds() {
  std::vector<latency_bound> bounds;
  for (int i = 0; i <= kDecades * kBinsPerDecade; ++i) {
    const double exponent = static_cast<double>(i) / kBinsPerDecade;
    bounds.push_back(
        {kLowestSeconds * std::pow(10, exponent), i > 0 && i % kBinsPerExposedBound == 0});
  }
  for (const double seconds : kObjectiveThresholdsSeconds) {
    bounds.push_back({seconds, true});
  }
  std::ranges::sort(bounds, {}, &latency_bound::seconds);
  return bounds;
}

}  // namespace

const std::vector<latency_bound>& LatencyBounds() {
  static const std::vector<latency_bound> kBounds = MakeBounds();
  return kBounds;
}

}  // namespace tarragon
