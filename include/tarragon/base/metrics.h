#ifndef TARRAGON_BASE_METRICS_H_
#define TARRAGON_BASE_METRICS_H_

#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>

#include "tarragon/base/clock.h"
#include "tarragon/base/latency_histogram.h"

namespace tarragon {

/** Value of a counter or of a gauge. Thread-safe. */
class counter final {
 public:
  void Add(std::int64_t amount = 1) { value_.fetch_add(amount, std::memory_order_relaxed); }
  void Set(std::int64_t value) { value_.store(value, std::memory_order_relaxed); }
  std::int64_t Value() const { return value_.load(std::memory_order_relaxed); }

 private:
  std::atomic<std::int64_t> value_{0};
};

/**
 * Registry of all metrics of a process. Returned references stay valid for the life of the
 * registry. `labels` is the text between the braces of the text exposition format, such as
 * `class="lookup"`.
 */
class metrics final {
 public:
  counter& Counter(std::string_view name, std::string_view labels = {});
  counter& Gauge(std::string_view name, std::string_view labels = {});
  latency_histogram& Latency(std::string_view name, std::string_view labels = {});

  /** @return all metrics in the text exposition format, version 0.0.4. */
  std::string Expose() const;

 private:
  struct series {
    std::string name;
    std::string labels;
    auto operator<=>(const series&) const = default;
  };

  mutable std::mutex mutex_;
  std::map<series, std::unique_ptr<counter>> counters_;
  std::map<series, std::unique_ptr<counter>> gauges_;
  std::map<series, std::unique_ptr<latency_histogram>> latencies_;
};

}  // namespace tarragon

#endif  // TARRAGON_BASE_METRICS_H_
