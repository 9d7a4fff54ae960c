#ifndef TARRAGON_SRC_GATEWAY_LOAD_SERIALIZATION_H_
#define TARRAGON_SRC_GATEWAY_LOAD_SERIALIZATION_H_

#include <chrono>
#include <cstdint>

#include "tarragon/routing/peer_loads.h"

namespace tarragon::routing {

template <class Archive>
void serialize(Archive& archive, endpoint_load& load) {
  archive(load.requests, load.tokens, load.unread_tokens, load.long_streams);
}

template <class Archive>
void serialize(Archive& archive, endpoint_load_report& report) {
  auto event_interval = static_cast<std::uint32_t>(report.event_interval.count());
  archive(report.endpoint_hash, report.load, event_interval, report.min_slowness_percent);
  report.event_interval = std::chrono::microseconds(event_interval);
}

}  // namespace tarragon::routing

#endif  // TARRAGON_SRC_GATEWAY_LOAD_SERIALIZATION_H_
