#ifndef TARRAGON_CONTROL_ROLLOUT_RECORD_H_
#define TARRAGON_CONTROL_ROLLOUT_RECORD_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace tarragon::control {

enum class rollout_state : std::uint8_t { kRunning, kDone, kStopped };

/** @return the name used in stored rows and log lines. */
std::string_view ToString(rollout_state state);

/** Progress of the rollout of one model version, stored in the row `control/rollout/<model>`. */
struct rollout_record {
  std::string model;
  std::string version;
  rollout_state state = rollout_state::kRunning;
  /** Engines that have the desired setup, out of all `engines` of the model. */
  std::uint32_t converged = 0;
  std::uint32_t engines = 0;
  /** Orders to load this version that were rejected or timed out. */
  std::uint32_t failures = 0;
  /** Why the rollout stopped or waits, or why its last load failed; may be empty. */
  std::string reason;

  /** @return the record as JSON. */
  std::string Encode() const;
  /** @return empty if `text` is not an encoded record. */
  static std::optional<rollout_record> Decode(const std::string& text);
  bool operator==(const rollout_record&) const = default;
};

}  // namespace tarragon::control

#endif  // TARRAGON_CONTROL_ROLLOUT_RECORD_H_
