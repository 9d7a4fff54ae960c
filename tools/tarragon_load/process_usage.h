#ifndef TARRAGON_TOOLS_TARRAGON_LOAD_PROCESS_USAGE_H_
#define TARRAGON_TOOLS_TARRAGON_LOAD_PROCESS_USAGE_H_

#include <map>
#include <string>

namespace tarragon::load {

/** CPU times in seconds: of processes since their start, of the machine since boot. */
struct cpu_reading {
  /** By kind of process: name of the pid file up to its last dash, and `load` for this process. */
  std::map<std::string, double> processes;
  /** Busy and total time, summed over all cores of the machine. */
  double machine_busy = 0;
  double machine_total = 0;
};

/** @param folder contains a file `<name>.pid` for each process. */
cpu_reading ReadCpu(const std::string& folder);

}  // namespace tarragon::load

#endif  // TARRAGON_TOOLS_TARRAGON_LOAD_PROCESS_USAGE_H_
