#ifndef TARRAGON_DECISION_REQUEST_OUTCOME_H_
#define TARRAGON_DECISION_REQUEST_OUTCOME_H_

#include <string>
#include <string_view>

#include "tarragon/base/run_verdict.h"
#include "tarragon/decision/action.h"

namespace tarragon::decision {

/**
 * Classifies a finished request for service-level objectives.
 * - `whole`, `late`: the request completed within its deadline, or after it.
 * - `failed`: the request did not complete, and it ran or may have run.
 * - `refused`: the request did not run because capacity or time was insufficient.
 * - `rejected`: the request did not run because of its content or its account's rate limit, or its
 *   idempotency key is held by another call.
 * - `cancelled`: the caller abandoned the request.
 */
std::string_view ClassifyOutcome(finish_reason reason, run_verdict verdict, bool in_time);

/**
 * @return the metric label `class="<name>"`, escaped. An empty name gives `unknown`. Other names
 * must be classes of the operating document, which bounds the number of label values.
 */
std::string ClassLabel(std::string_view request_class);

/** @return the labels of `kOutcomesMetric`. */
std::string OutcomeLabels(std::string_view request_class, std::string_view outcome);

}  // namespace tarragon::decision

#endif  // TARRAGON_DECISION_REQUEST_OUTCOME_H_
