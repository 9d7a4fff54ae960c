#include "tarragon/routing/store_pace.h"

namespace tarragon::routing {

namespace {

/** Longest wait of a feed call whose result no other daemon waits for. */
constexpr std::chrono::milliseconds kDirectWait{2000};
/** The list of daemons changes only when a daemon starts on a new VM. */
constexpr std::chrono::milliseconds kMembersWait{20000};
/** Bounds the time between two confirmations that are relayed. */
constexpr std::chrono::milliseconds kRelayedWait{600};
constexpr std::chrono::milliseconds kMaxBackoff{800};
/**
 * For daemons that read only because they have no source: in an outage these are all others. A call
 * that times out as the path comes back, and the wait until the next one, fit into `kCatchUpTime`.
 */
constexpr std::chrono::milliseconds kMaxSubstituteBackoff = kCatchUpTime;

}  // namespace

store_pace PaceOf(const relay_plan& plan, bool essential) {
  const std::chrono::milliseconds wait = plan.is_relayed ? kRelayedWait : kDirectWait;
  return {.wait = essential ? wait : kMembersWait,
          .max_backoff = plan.reads_store ? kMaxBackoff : kMaxSubstituteBackoff};
}

}  // namespace tarragon::routing
