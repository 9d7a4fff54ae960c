#include "tarragon/policy/outlier_detector.h"

#include <benchmark/benchmark.h>

namespace tarragon::policy {
namespace {

constexpr endpoint_index kEndpoints = 64;

outlier_detector MakeDetector() {
  outlier_detector detector;
  for (endpoint_index endpoint = 0; endpoint < kEndpoints; ++endpoint) {
    detector.Add(endpoint);
    for (int i = 0; i < 20; ++i) {
      detector.RecordLatency(time_point{}, endpoint, latency_kind::kBetweenTokens,
                             std::chrono::milliseconds(50 + endpoint));
    }
  }
  return detector;
}

void BM_RecordLatency(benchmark::State& state) {
  outlier_detector detector = MakeDetector();
  time_point now{};
  endpoint_index endpoint = 0;
  for (auto _ : state) {
    now += std::chrono::microseconds(400);
    endpoint = (endpoint + 1) % kEndpoints;
    detector.RecordLatency(now, endpoint, latency_kind::kBetweenTokens,
                           std::chrono::milliseconds(50));
  }
}
BENCHMARK(BM_RecordLatency)->Name("outlier_detector/RecordLatency");

void BM_Update(benchmark::State& state) {
  outlier_detector detector = MakeDetector();
  for (auto _ : state) {
    detector.Update(time_point{});
  }
}
BENCHMARK(BM_Update)->Name("outlier_detector/Update64Endpoints");

}  // namespace
}  // namespace tarragon::policy
