#include "tarragon/base/run_verdict.h"

#include <algorithm>
#include <array>

namespace tarragon {

namespace {

struct named_verdict {
  run_verdict verdict;
  std::string_view name;
};

constexpr std::array kNames = {named_verdict{run_verdict::kNotRun, "not-run"},
                               named_verdict{run_verdict::kMayHaveRun, "may-have-run"},
                               named_verdict{run_verdict::kRan, "ran"}};

}  // namespace

std::string_view ToString(run_verdict verdict) {
  return kNames[static_cast<std::size_t>(verdict)].name;
}

std::optional<run_verdict> ParseRunVerdict(std::string_view text) {
  const auto found = std::ranges::find(kNames, text, &named_verdict::name);
  if (found == kNames.end()) {
    return std::nullopt;
  }
  return found->verdict;
}

run_verdict Combine(run_verdict a, run_verdict b) {
  return std::max(a, b);
}

}  // namespace tarragon
