#ifndef TARRAGON_TESTS_EMULATOR_PROCESS_USAGE_H_
#define TARRAGON_TESTS_EMULATOR_PROCESS_USAGE_H_

#include <sys/types.h>

#include <cstddef>

namespace tarragon::emulator {

/** @return resident memory of a process in bytes; 0 if it is not running. */
std::size_t ResidentBytes(pid_t process);

/** @return largest resident memory that the process has had, in bytes. */
std::size_t PeakResidentBytes(pid_t process);

/** @return open sockets of a process. */
std::size_t CountSockets(pid_t process);

}  // namespace tarragon::emulator

#endif  // TARRAGON_TESTS_EMULATOR_PROCESS_USAGE_H_
