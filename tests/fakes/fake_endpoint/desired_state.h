#ifndef TARRAGON_FAKES_FAKE_ENDPOINT_DESIRED_STATE_H_
#define TARRAGON_FAKES_FAKE_ENDPOINT_DESIRED_STATE_H_

#include <cstdint>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace tarragon::fakes {

/** Model, version, adapters and role that an engine serves. */
struct served_state {
  std::string model;
  std::string version;
  std::vector<std::string> adapters;
  std::string role = "serve";

  bool operator==(const served_state&) const = default;
};

struct order {
  std::uint64_t fencing = 0;
  std::uint64_t document_version = 0;
  served_state wanted;
};

enum class order_outcome : std::uint8_t {
  kApplied,
  /** The fencing number was lower than an earlier one, but this engine does not check it. */
  kStaleApplied,
  kStaleRefused,
};

struct order_counts {
  std::uint64_t applied = 0;
  std::uint64_t stale_applied = 0;
  std::uint64_t stale_refused = 0;
  std::uint64_t loads = 0;
};

/** Orders that an engine received, and the state that it serves. Thread-safe. */
class desired_state final {
 public:
  desired_state(served_state initial, bool checks_fencing);

  order_outcome Apply(const order& received);

  served_state Serving() const;
  order LastOrder() const;
  order_counts Counts() const;

  /** @return the wanted state, or empty if it equals the served state. */
  std::optional<served_state> Pending() const;
  /** Makes `loaded` the served state. Ignored if a newer order wants another state. */
  void FinishLoad(const served_state& loaded);

 private:
  const bool checks_fencing_;
  mutable std::mutex mutex_;
  served_state serving_;
  order last_;
  std::uint64_t highest_fencing_ = 0;
  order_counts counts_;
};

}  // namespace tarragon::fakes

#endif  // TARRAGON_FAKES_FAKE_ENDPOINT_DESIRED_STATE_H_
