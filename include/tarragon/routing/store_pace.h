#ifndef TARRAGON_ROUTING_STORE_PACE_H_
#define TARRAGON_ROUTING_STORE_PACE_H_

#include <chrono>

#include "tarragon/routing/relay_plan.h"

namespace tarragon::routing {

/** How often a daemon calls the store for one table. */
struct store_pace {
  /** Longest wait of one feed call at the store. */
  std::chrono::milliseconds wait{2000};
  /** Longest time from the start of a call that fails to the next call. */
  std::chrono::milliseconds max_backoff{800};
};

/** Time after which a call that does not wait at the store counts as failed. */
inline constexpr std::chrono::milliseconds kStoreResponseTimeout{800};
inline constexpr std::chrono::milliseconds kInitialStoreBackoff{100};

/**
 * Longest wait of a daemon with old rows before it tries again, so that it is current soon after
 * its path to the store or to a source has come back. The users hold a daemon to the time of a
 * change 4 s after that, where daemons are so many that some only substitute.
 */
inline constexpr std::chrono::milliseconds kCatchUpTime{2500};

/** @param essential changes of the table must reach the daemon in time. */
store_pace PaceOf(const relay_plan& plan, bool essential);

}  // namespace tarragon::routing

#endif  // TARRAGON_ROUTING_STORE_PACE_H_
