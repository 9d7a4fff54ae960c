#include "tarragon/gateway/crash_message.h"

#include "gateway/datagram.h"

namespace tarragon::routing {

template <class Archive>
void serialize(Archive& archive, crash_record& record) {
  auto age = static_cast<std::uint32_t>(record.age.count());
  archive(record.trait.id.value, record.trait.specificity, record.endpoint_hash,
          record.answer_begun, record.cleared, record.answered_before, age);
  record.age = std::chrono::milliseconds(age);
}

}  // namespace tarragon::routing

namespace tarragon::gateway {

namespace {

/** Checksum seed; must change with the datagram format. */
constexpr std::uint64_t kFormat = 0x74676371;

}  // namespace

std::string EncodeCrashRecords(const std::vector<routing::crash_record>& records) {
  return EncodeDatagram(records, kFormat);
}

std::optional<std::vector<routing::crash_record>> DecodeCrashRecords(std::string_view datagram) {
  return DecodeDatagram<std::vector<routing::crash_record>>(datagram, kFormat);
}

}  // namespace tarragon::gateway
