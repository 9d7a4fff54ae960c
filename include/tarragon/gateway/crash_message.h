#ifndef TARRAGON_GATEWAY_CRASH_MESSAGE_H_
#define TARRAGON_GATEWAY_CRASH_MESSAGE_H_

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "tarragon/routing/crash_quarantine.h"

namespace tarragon::gateway {

/** Records that fit into a datagram of 1,200 bytes. */
inline constexpr std::size_t kMaxCrashRecords = 48;

/** @return the records encoded as one datagram. */
std::string EncodeCrashRecords(const std::vector<routing::crash_record>& records);

/** @return the records in a datagram, or empty if it is damaged or holds something else. */
std::optional<std::vector<routing::crash_record>> DecodeCrashRecords(std::string_view datagram);

}  // namespace tarragon::gateway

#endif  // TARRAGON_GATEWAY_CRASH_MESSAGE_H_
