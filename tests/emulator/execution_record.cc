#include "emulator/execution_record.h"

#include <algorithm>

namespace tarragon::emulator {

void execution_record::Began(const std::string& request,
                             const std::string& endpoint,
                             bool continued) {
  runs_[request] += continued ? 0 : 1;
  running_[request][endpoint] = time_.Now();
}

void execution_record::Ended(const std::string& request, const std::string& endpoint) {
  auto& places = running_[request];
  const auto ended = places.find(endpoint);
  if (ended == places.end()) {
    return;
  }
  for (const auto& [other, began] : places) {
    const time_point both_since = std::max(began, ended->second);
    if (other != endpoint && time_.Now() - both_since > kHandOver) {
      twice_.insert(request);
    }
  }
  places.erase(ended);
}

int execution_record::Runs(const std::string& request) const {
  const auto found = runs_.find(request);
  return found == runs_.end() ? 0 : found->second;
}

std::vector<std::string> execution_record::RunningTwice() const {
  return {twice_.begin(), twice_.end()};
}

}  // namespace tarragon::emulator
