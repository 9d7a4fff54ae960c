#include "process_usage.h"

#include <fmt/format.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <sstream>
#include <vector>

namespace tarragon::load {

namespace {

double SecondsPerTick() {
  return 1.0 / static_cast<double>(sysconf(_SC_CLK_TCK));
}

/** Reads the user and system CPU time, fields 14 and 15 of /proc/<pid>/stat. */
double ReadProcessCpuSeconds(const std::string& pid) {
  std::ifstream file(fmt::format("/proc/{}/stat", pid));
  std::string line;
  std::getline(file, line);
  const std::size_t name_end = line.rfind(')');
  if (name_end == std::string::npos) {
    return 0;
  }
  std::istringstream fields(line.substr(name_end + 1));
  std::string skipped;
  constexpr int kSkippedFields = 11;
  for (int i = 0; i < kSkippedFields; ++i) {
    fields >> skipped;
  }
  double user = 0;
  double system = 0;
  fields >> user >> system;
  return (user + system) * SecondsPerTick();
}

void ReadMachineCpu(cpu_reading& reading) {
  std::ifstream file("/proc/stat");
  std::string name;
  file >> name;
  constexpr std::size_t kFields = 8;
  constexpr std::size_t kIdle = 3;
  constexpr std::size_t kIoWait = 4;
  for (std::size_t i = 0; i < kFields; ++i) {
    double ticks = 0;
    file >> ticks;
    reading.machine_total += ticks * SecondsPerTick();
    reading.machine_busy += i == kIdle || i == kIoWait ? 0 : ticks * SecondsPerTick();
  }
}

}  // namespace

cpu_reading ReadCpu(const std::string& folder) {
  cpu_reading reading;
  ReadMachineCpu(reading);
  reading.processes["load"] = ReadProcessCpuSeconds("self");
  std::error_code error;
  for (const auto& item : std::filesystem::directory_iterator(folder, error)) {
    if (item.path().extension() != ".pid") {
      continue;
    }
    std::ifstream file(item.path());
    std::string pid;
    file >> pid;
    const std::string name = item.path().stem().string();
    reading.processes[name.substr(0, name.rfind('-'))] += ReadProcessCpuSeconds(pid);
  }
  return reading;
}

}  // namespace tarragon::load
