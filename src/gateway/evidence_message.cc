#include "tarragon/gateway/evidence_message.h"

#include "gateway/datagram.h"
#include "gateway/version_serialization.h"

namespace tarragon::routing {

template <class Archive>
void serialize(Archive& archive, endpoint_statement& statement) {
  auto age = static_cast<std::uint32_t>(statement.age.count());
  archive(statement.incarnation.endpoint_hash, statement.incarnation.started_unix_ms,
          statement.row_version, statement.witness, statement.number, statement.kind, age);
  statement.age = std::chrono::milliseconds(age);
}

}  // namespace tarragon::routing

namespace tarragon::gateway {

namespace {

/** Checksum seed; must change with the datagram format. */
constexpr std::uint64_t kFormat = 0x74676532;

}  // namespace

std::string EncodeEvidence(const std::vector<routing::endpoint_statement>& statements) {
  return EncodeDatagram(statements, kFormat);
}

std::optional<std::vector<routing::endpoint_statement>> DecodeEvidence(std::string_view datagram) {
  return DecodeDatagram<std::vector<routing::endpoint_statement>>(datagram, kFormat);
}

}  // namespace tarragon::gateway
