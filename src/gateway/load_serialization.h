#ifndef TARRAGON_SRC_GATEWAY_LOAD_SERIALIZATION_H_
#define TARRAGON_SRC_GATEWAY_LOAD_SERIALIZATION_H_

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <limits>
#include <optional>

#include "tarragon/routing/peer_loads.h"

namespace tarragon::routing {

/** Messages hold 32 bits for each figure, more than any engine's memory. */
inline std::uint32_t Saturate(std::uint64_t value) {
  constexpr std::uint64_t kMax = std::numeric_limits<std::uint32_t>::max();
  return static_cast<std::uint32_t>(std::min(value, kMax));
}

template <class Archive>
void serialize(Archive& archive, endpoint_load& load) {
  std::uint32_t tokens = Saturate(load.tokens);
  std::uint32_t unread_tokens = Saturate(load.unread_tokens);
  archive(load.requests, tokens, unread_tokens, load.long_streams);
  load.tokens = tokens;
  load.unread_tokens = unread_tokens;
}

/** Few endpoints are cold or have ever been limited, so that the others take a single byte. */
template <class Archive>
void SerializeLimit(Archive& archive, endpoint_load_report& report) {
  constexpr double kNoLimit = -1;
  bool has_limit = report.limit.revision > 0 || report.recent_sends > 0;
  archive(has_limit);
  if (!has_limit) {
    return;
  }
  double per_second = report.limit.per_second.value_or(kNoLimit);
  archive(report.limit.revision, per_second, report.recent_sends);
  report.limit.per_second = per_second < 0 ? std::nullopt : std::optional(per_second);
}

template <class Archive>
void serialize(Archive& archive, endpoint_load_report& report) {
  auto event_interval = static_cast<std::uint32_t>(report.event_interval.count());
  archive(report.endpoint_hash, report.load, event_interval, report.min_slowness_percent);
  report.event_interval = std::chrono::microseconds(event_interval);
  SerializeLimit(archive, report);
}

}  // namespace tarragon::routing

#endif  // TARRAGON_SRC_GATEWAY_LOAD_SERIALIZATION_H_
