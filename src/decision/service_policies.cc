#include "decision/service_policies.h"

namespace tarragon::decision {

namespace {

policy::admission_queue_options QueueOptions(const engine_options& options) {
  policy::admission_queue_options queue;
  queue.max_requests = options.max_queued;
  return queue;
}

policy::endpoint_selector::rule SelectorRule(selector_choice choice) {
  switch (choice) {
    case selector_choice::kRoundRobin:
      return policy::round_robin{};
    case selector_choice::kLeastReportedLoad:
      return policy::least_reported_load{};
    case selector_choice::kTwoChoice:
      break;
  }
  return policy::two_choice{};
}

}  // namespace

service_policies::service_policies(const engine_options& options)
    : queue(QueueOptions(options)), selector(SelectorRule(options.selector)) {}

}  // namespace tarragon::decision
