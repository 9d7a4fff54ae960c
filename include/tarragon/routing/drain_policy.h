#ifndef TARRAGON_ROUTING_DRAIN_POLICY_H_
#define TARRAGON_ROUTING_DRAIN_POLICY_H_

#include <chrono>

#include "tarragon/routing/endpoint_picker.h"
#include "tarragon/routing/service_config.h"

namespace tarragon::routing {

/** @return time from the send to the last event if a generation has the longest allowed output. */
std::chrono::milliseconds MaxGenerationDuration(const work_size& size);

/**
 * @return whether a process that is shutting down should accept one more request. A request that
 *     cannot finish in time is refused, so that another daemon may run it.
 * @param remaining_time time until the process ends.
 */
bool MayAcceptWhileDraining(const route& rule,
                            const work_size& size,
                            std::chrono::milliseconds remaining_time);

}  // namespace tarragon::routing

#endif  // TARRAGON_ROUTING_DRAIN_POLICY_H_
