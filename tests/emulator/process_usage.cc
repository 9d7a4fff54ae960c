#include "emulator/process_usage.h"

#include <fmt/format.h>

#include <filesystem>
#include <fstream>
#include <string>
#include <string_view>

namespace tarragon::emulator {

namespace {

/** @return a value of `/proc/PID/status` that is given in KiB, in bytes. */
std::size_t ReadStatus(pid_t process, std::string_view name) {
  constexpr std::size_t kKibibyte = 1024;
  std::ifstream status(fmt::format("/proc/{}/status", process));
  for (std::string key; status >> key;) {
    if (key == name) {
      std::size_t kibibytes = 0;
      status >> kibibytes;
      return kibibytes * kKibibyte;
    }
  }
  return 0;
}

}  // namespace

std::size_t ResidentBytes(pid_t process) {
  return ReadStatus(process, "VmRSS:");
}

std::size_t PeakResidentBytes(pid_t process) {
  return ReadStatus(process, "VmHWM:");
}

std::size_t CountSockets(pid_t process) {
  std::size_t sockets = 0;
  std::error_code error;
  for (std::filesystem::directory_iterator entry(fmt::format("/proc/{}/fd", process), error), end;
       !error && entry != end; entry.increment(error)) {
    std::error_code closed_meanwhile;
    const auto target = std::filesystem::read_symlink(entry->path(), closed_meanwhile);
    sockets += target.string().starts_with("socket:") ? 1 : 0;
  }
  return sockets;
}

}  // namespace tarragon::emulator
