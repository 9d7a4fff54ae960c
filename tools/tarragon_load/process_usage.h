#ifndef TARRAGON_TOOLS_TARRAGON_LOAD_PROCESS_USAGE_H_
#define TARRAGON_TOOLS_TARRAGON_LOAD_PROCESS_USAGE_H_

#include <map>
#include <string>

namespace tarragon::load {

/** CPU time since the start, in seconds. */
struct cpu_reading {
  /** By kind of process: the name of the id file up to its last dash, and `load` for this one. */
  std::map<std::string, double> processes;
  /** All cores of the machine together, busy and in total. */
  double machine_busy = 0;
  double machine_total = 0;
};

/** @param folder holds a file `<name>.pid` for each process to read. */
cpu_reading ReadCpu(const std::string& folder);

}  // namespace tarragon::load

#endif  // TARRAGON_TOOLS_TARRAGON_LOAD_PROCESS_USAGE_H_
