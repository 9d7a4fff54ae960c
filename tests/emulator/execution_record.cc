#include "emulator/execution_record.h"

#include <algorithm>

namespace tarragon::emulator {

void execution_record::RecordStart(const std::string& request,
                                   const std::string& endpoint,
                                   bool continued) {
  runs_[request] += continued ? 0 : 1;
  running_[request][endpoint] = time_.Now();
}

void execution_record::RecordEnd(const std::string& request, const std::string& endpoint) {
  auto& endpoints = running_[request];
  const auto ended = endpoints.find(endpoint);
  if (ended == endpoints.end()) {
    return;
  }
  for (const auto& [other, start] : endpoints) {
    const time_point overlap_start = std::max(start, ended->second);
    if (other != endpoint && time_.Now() - overlap_start > kMaxHandoverOverlap) {
      concurrent_.insert(request);
    }
  }
  endpoints.erase(ended);
}

void execution_record::RecordArrival(const std::string& endpoint, const std::string& request) {
  arrivals_[endpoint].push_back(time_.Now());
  request_arrivals_.push_back({endpoint, request, time_.Now()});
}

void execution_record::RecordPause(const std::string& endpoint,
                                   const std::string& request,
                                   std::chrono::milliseconds pause) {
  pauses_.push_back({endpoint, request, time_.Now(), pause});
}

std::size_t execution_record::MaxArrivals(const std::string& endpoint,
                                          time_point start,
                                          duration window) const {
  const auto found = arrivals_.find(endpoint);
  if (found == arrivals_.end()) {
    return 0;
  }
  const std::vector<time_point>& times = found->second;
  std::size_t most = 0;
  for (auto first = std::ranges::lower_bound(times, start); first != times.end(); ++first) {
    const auto end = std::lower_bound(first, times.end(), *first + window);
    most = std::max(most, static_cast<std::size_t>(end - first));
  }
  return most;
}

int execution_record::RunCount(const std::string& request) const {
  const auto found = runs_.find(request);
  return found == runs_.end() ? 0 : found->second;
}

std::vector<std::string> execution_record::ConcurrentRuns() const {
  return {concurrent_.begin(), concurrent_.end()};
}

}  // namespace tarragon::emulator
