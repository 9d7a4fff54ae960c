#include "tarragon/base/invariant.h"

#include <cstdlib>

#include "tarragon/base/log.h"

namespace tarragon {

void InvariantFailed(const char* condition, std::string_view detail, const char* file, int line) {
  LogEvent("invariant_failed",
           {{"condition", condition}, {"detail", detail}, {"file", file}, {"line", line}});
  std::abort();
}

}  // namespace tarragon
