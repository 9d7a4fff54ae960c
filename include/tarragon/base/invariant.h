#ifndef TARRAGON_BASE_INVARIANT_H_
#define TARRAGON_BASE_INVARIANT_H_

#include <string_view>

namespace tarragon {

/** Logs the failed condition to standard error and aborts. */
[[noreturn]] void InvariantFailed(const char* condition,
                                  std::string_view detail,
                                  const char* file,
                                  int line);

}  // namespace tarragon

/** Checked in every build type: a process whose invariant failed must not continue to serve. */
#define TARRAGON_INVARIANT(condition, detail)                              \
  do {                                                                     \
    if (!(condition)) [[unlikely]] {                                       \
      ::tarragon::InvariantFailed(#condition, detail, __FILE__, __LINE__); \
    }                                                                      \
  } while (false)

#endif  // TARRAGON_BASE_INVARIANT_H_
