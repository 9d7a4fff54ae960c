#ifndef TARRAGON_TOOLS_TARRAGON_LOAD_LOAD_REPORT_H_
#define TARRAGON_TOOLS_TARRAGON_LOAD_LOAD_REPORT_H_

#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>
#include <vector>

#include "load_caller.h"

namespace tarragon::load {

/** A phase of a run; a request belongs to the phase in which it was due. */
struct run_phase {
  std::string name;
  offset start{0};
};

struct report_options {
  /** Ordered by start; requests due before the first phase are warm-up and are not reported. */
  std::vector<run_phase> phases;
  offset length{0};
  /** Answers after the deadline of their kind do not count as goodput. Zero: no deadline. */
  offset deadlines[kRequestKinds] = {};
};

/** @return `{phase: {kind: {sent, outcomes, latencies in ms, ...}, goodput}}`. */
nlohmann::json MakeReport(const std::vector<call_result>& results, const report_options& options);

/** @return the report as a text table. */
std::string MakeTable(const nlohmann::json& report);

}  // namespace tarragon::load

#endif  // TARRAGON_TOOLS_TARRAGON_LOAD_LOAD_REPORT_H_
