#ifndef TARRAGON_SRC_BASE_LATENCY_BOUNDS_H_
#define TARRAGON_SRC_BASE_LATENCY_BOUNDS_H_

#include <vector>

namespace tarragon {

/** Edge between two bins of every latency histogram. */
struct latency_bound {
  double seconds = 0;
  /** The edge is a bucket bound in the text exposition. */
  bool exposed = false;
};

/** @return all edges in ascending order; the first one is the lower edge of the first bin. */
const std::vector<latency_bound>& LatencyBounds();

}  // namespace tarragon

#endif  // TARRAGON_SRC_BASE_LATENCY_BOUNDS_H_
