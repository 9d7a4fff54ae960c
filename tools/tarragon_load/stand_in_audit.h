#ifndef TARRAGON_TOOLS_TARRAGON_LOAD_STAND_IN_AUDIT_H_
#define TARRAGON_TOOLS_TARRAGON_LOAD_STAND_IN_AUDIT_H_

#include <cstdint>
#include <string>
#include <vector>

#include "load_caller.h"

namespace tarragon::load {

/** What the stand-ins say about the requests of a run. */
struct audit_result {
  /** Stand-ins that answered; those that died have lost their records. */
  std::uint32_t stand_ins_read = 0;
  std::uint32_t stand_ins_missing = 0;
  /** Requests answered `not-run` of which a stand-in has a record. */
  std::uint32_t false_not_run = 0;
  /** Unrepeatable calls executed more than once. */
  std::uint32_t repeated_once = 0;
  /** Accepted generations and executed calls above one for each request that ran. */
  std::uint32_t extra_runs = 0;
  std::uint32_t ran = 0;
  std::uint64_t preemptions = 0;
  std::uint64_t stall_ms = 0;
  std::vector<std::string> examples;
};

/**
 * Compares the answers with `GET /stats` of the stand-ins.
 * @param saved files with the last `/stats` of stand-ins that were killed, may be empty.
 */
audit_result Audit(const load_caller& caller,
                   const std::vector<call_result>& results,
                   const std::vector<std::string>& stand_ins,
                   const std::vector<std::string>& saved);

}  // namespace tarragon::load

#endif  // TARRAGON_TOOLS_TARRAGON_LOAD_STAND_IN_AUDIT_H_
