#ifndef TARRAGON_DECISION_SERVICE_POLICIES_H_
#define TARRAGON_DECISION_SERVICE_POLICIES_H_

#include <deque>
#include <vector>

#include "decision/endpoint_table.h"
#include "tarragon/base/ids.h"
#include "tarragon/decision/engine_options.h"
#include "tarragon/policy/admission_queue.h"
#include "tarragon/policy/endpoint_selector.h"
#include "tarragon/policy/outlier_detector.h"
#include "tarragon/policy/retry_budget.h"

namespace tarragon::decision {

/** Policies whose state belongs to one service. */
struct service_policies {
  explicit service_policies(const engine_options& options);

  policy::admission_queue queue;
  /** Retried requests in order of arrival; without the fair queue, all requests. */
  std::deque<request_id> fifo_queue;
  policy::outlier_detector outliers;
  policy::retry_budget budget;
  policy::endpoint_selector selector;
  /** The subset of the service's endpoints that this entry sends to. */
  std::vector<const endpoint_state*> endpoints;
};

}  // namespace tarragon::decision

#endif  // TARRAGON_DECISION_SERVICE_POLICIES_H_
