#ifndef TARRAGON_CONTROL_LEASE_RECORD_H_
#define TARRAGON_CONTROL_LEASE_RECORD_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

namespace tarragon::control {

/** Contents of the row `control/lease`. */
struct lease_record {
  /** Holder's name, unique for each start of a process; empty if the lease was released. */
  std::string holder;
  /** Incremented by one with each change of holder; every order carries this number. */
  std::uint64_t fencing_number = 0;
  /** Unique for each write of the holder: a read shows whether an unanswered write was applied. */
  std::uint64_t write_number = 0;
  std::chrono::milliseconds term{0};

  /** @return the record as JSON. */
  std::string Encode() const;
  /** @return empty if `text` is not an encoded record. */
  static std::optional<lease_record> Decode(const std::string& text);
  bool operator==(const lease_record&) const = default;
};

}  // namespace tarragon::control

#endif  // TARRAGON_CONTROL_LEASE_RECORD_H_
