#ifndef TARRAGON_TOOLS_TARRAGON_LOAD_LATENCY_MODE_H_
#define TARRAGON_TOOLS_TARRAGON_LOAD_LATENCY_MODE_H_

#include <cstdint>
#include <string>
#include <vector>

#include "tarragon/net/socket_address.h"

namespace tarragon::load {

struct latency_options {
  net::socket_address entry;
  std::vector<net::socket_address> endpoints;
  std::string token;
  std::string model;
  int streams = 200;
  std::uint32_t tokens = 200;
  /** Token indices for which the added latency is also reported separately. */
  std::vector<std::uint32_t> marked_indices;
};

/**
 * Measures the latency that the entry adds to each token. Every stream through the entry is read
 * a second time directly from its endpoint; the difference between the two arrival times of a token
 * is the added latency. Streams sent directly to the endpoints give the time to first token and the
 * inter-token latency without the entry.
 * @return false if a stream was incomplete.
 */
bool RunLatencyMode(const latency_options& options);

}  // namespace tarragon::load

#endif  // TARRAGON_TOOLS_TARRAGON_LOAD_LATENCY_MODE_H_
