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
  /** Indices around which the added latency is also reported by itself. */
  std::vector<std::uint32_t> marks;
};

/**
 * Measures what the entry adds to the time of each token. Every stream through the entry is read a
 * second time straight from its endpoint, so that both readings are of the same token of the same
 * generation; their difference is the added latency. Streams sent straight to the endpoints give
 * the first-token time and the gaps without the entry.
 * @return false if a stream was not whole.
 */
bool RunLatency(const latency_options& options);

}  // namespace tarragon::load

#endif  // TARRAGON_TOOLS_TARRAGON_LOAD_LATENCY_MODE_H_
