#ifndef TARRAGON_DECISION_REQUEST_OUTCOME_H_
#define TARRAGON_DECISION_REQUEST_OUTCOME_H_

#include <string>
#include <string_view>

#include "tarragon/base/run_verdict.h"
#include "tarragon/decision/action.h"

namespace tarragon::decision {

/**
 * How a request counts for service-level objectives.
 * - `whole`, `late`: it completed within its deadline, or after it.
 * - `failed`: it was accepted and neither completed nor certainly did not run.
 * - `refused`: it did not run for want of capacity or time.
 * - `rejected`: it did not run because of what the caller sent, or its account's rate.
 * - `cancelled`: the caller gave it up.
 */
std::string_view OutcomeOf(finish_reason reason, run_verdict verdict, bool in_time);

/** @return `class="<name>"`, escaped; the class has to be one of the document's. */
std::string ClassLabel(std::string_view request_class);

/** @return labels of `kOutcomesMetric`. */
std::string OutcomeLabels(std::string_view request_class, std::string_view outcome);

}  // namespace tarragon::decision

#endif  // TARRAGON_DECISION_REQUEST_OUTCOME_H_
