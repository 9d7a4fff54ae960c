#ifndef TARRAGON_ROUTING_DRAIN_POLICY_H_
#define TARRAGON_ROUTING_DRAIN_POLICY_H_

#include <chrono>
#include <vector>

#include "tarragon/base/clock.h"
#include "tarragon/routing/endpoint_picker.h"
#include "tarragon/routing/endpoint_registry.h"
#include "tarragon/routing/generation_pace.h"
#include "tarragon/routing/service_config.h"

namespace tarragon::routing {

/** Upper bounds on the times that a service's next generation takes. */
struct pace_bounds {
  /** From the send to the first event, without the prefill. */
  duration start;
  duration per_token;
  /** Prefill of each prompt token. */
  duration per_prompt_token;
};

/**
 * @param pace what this daemon has seen of the service.
 * @param engines all engines of the service, with what other daemons have seen of them.
 */
pace_bounds BoundPace(time_point now,
                      const generation_pace& pace,
                      const std::vector<endpoint_ptr>& engines);

/**
 * @return time from the send to the last event if a generation has the longest allowed output and
 *     its engine is never silent.
 */
std::chrono::milliseconds MaxGenerationDuration(const work_size& size, const pace_bounds& bounds);

/**
 * @param time_allowed time after which the request ends at the latest.
 * @return upper bound on the time from the send to the end of the response. A generation's allows
 *     for one silence of a sound engine.
 */
std::chrono::milliseconds MaxTimeNeeded(const route& rule,
                                        const work_size& size,
                                        const pace_bounds& bounds,
                                        std::chrono::milliseconds time_allowed);

/**
 * @param time_allowed time after which the request ends at the latest.
 * @param remaining_time time until the process ends.
 * @return whether a request that is sent now by a process that is shutting down ends before the
 *     process does. One that may not is refused, so that another daemon may run it.
 */
bool CanFinishInTime(const route& rule,
                     const work_size& size,
                     const pace_bounds& bounds,
                     std::chrono::milliseconds time_allowed,
                     std::chrono::milliseconds remaining_time);

}  // namespace tarragon::routing

#endif  // TARRAGON_ROUTING_DRAIN_POLICY_H_
