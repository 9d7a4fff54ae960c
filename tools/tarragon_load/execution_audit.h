#ifndef TARRAGON_TOOLS_TARRAGON_LOAD_EXECUTION_AUDIT_H_
#define TARRAGON_TOOLS_TARRAGON_LOAD_EXECUTION_AUDIT_H_

#include <cstdint>
#include <string>
#include <vector>

#include "load_caller.h"

namespace tarragon::load {

/** Comparison of the answers of a run with the execution records of the fake endpoints. */
struct audit_result {
  /** Fake endpoints that returned their records; a killed endpoint has lost its records. */
  std::uint32_t stand_ins_read = 0;
  std::uint32_t stand_ins_missing = 0;
  /** Requests answered `not-run` that an endpoint recorded as executed. */
  std::uint32_t false_not_run = 0;
  /** Unrepeatable calls executed more than once. */
  std::uint32_t repeated_once = 0;
  /** Executions in excess of one for each executed request. */
  std::uint32_t extra_runs = 0;
  std::uint32_t ran = 0;
  std::uint64_t preemptions = 0;
  std::uint64_t stall_ms = 0;
  std::vector<std::string> examples;
};

/**
 * Compares the answers with `GET /stats` of the fake endpoints.
 * @param stand_ins `ip:port` of each fake endpoint.
 * @param saved_stats files with the last `/stats` of endpoints that were killed; may be empty.
 */
audit_result AuditExecutions(const load_caller& caller,
                             const std::vector<call_result>& results,
                             const std::vector<std::string>& stand_ins,
                             const std::vector<std::string>& saved_stats);

}  // namespace tarragon::load

#endif  // TARRAGON_TOOLS_TARRAGON_LOAD_EXECUTION_AUDIT_H_
