#ifndef TARRAGON_GATEWAY_EVIDENCE_MESSAGE_H_
#define TARRAGON_GATEWAY_EVIDENCE_MESSAGE_H_

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "tarragon/routing/endpoint_evidence.h"

namespace tarragon::gateway {

/** Statements that fit into a datagram of 1,200 bytes. */
inline constexpr std::size_t kMaxStatements = 22;

/** @return the statements encoded as one datagram. */
std::string EncodeEvidence(const std::vector<routing::endpoint_statement>& statements);

/** @return the statements in a datagram, or empty if it is damaged or holds something else. */
std::optional<std::vector<routing::endpoint_statement>> DecodeEvidence(std::string_view datagram);

}  // namespace tarragon::gateway

#endif  // TARRAGON_GATEWAY_EVIDENCE_MESSAGE_H_
