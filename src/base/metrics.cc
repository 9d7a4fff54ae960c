#include "tarragon/base/metrics.h"

#include <fmt/format.h>

#include <iterator>

#include "base/latency_bounds.h"

namespace tarragon {

namespace {

std::string FormatLabels(std::string_view labels) {
  return labels.empty() ? std::string() : fmt::format("{{{}}}", labels);
}

template <typename Map, typename Series>
auto& FindOrCreate(std::mutex& mutex, Map& map, Series key) {
  std::lock_guard lock(mutex);
  auto& slot = map[std::move(key)];
  if (!slot) {
    slot = std::make_unique<typename Map::mapped_type::element_type>();
  }
  return *slot;
}

void AppendTypeLine(fmt::memory_buffer& out,
                    std::string& last_name,
                    const std::string& name,
                    std::string_view type) {
  if (last_name != name) {
    fmt::format_to(std::back_inserter(out), "# TYPE {} {}\n", name, type);
    last_name = name;
  }
}

void AppendLatency(fmt::memory_buffer& out,
                   const std::string& name,
                   const std::string& labels,
                   const latency_histogram& latency) {
  auto sink = std::back_inserter(out);
  const auto bins = latency.Cumulative();
  const std::string_view comma = labels.empty() ? "" : ",";
  const std::vector<latency_bound>& bounds = LatencyBounds();
  // A sample equal to a bound is counted above it, so that a bucket never makes an objective look
  // better than it is.
  for (std::size_t i = 0; i + 1 < bins.size(); ++i) {
    if (const latency_bound& upper = bounds[i + 1]; upper.exposed) {
      fmt::format_to(sink, "{}_bucket{{{}{}le=\"{:.4g}\"}} {}\n", name, labels, comma,
                     upper.seconds, bins[i].count);
    }
  }
  fmt::format_to(sink, "{}_bucket{{{}{}le=\"+Inf\"}} {}\n", name, labels, comma, bins.back().count);
  fmt::format_to(sink, "{}_sum{} {}\n", name, FormatLabels(labels),
                 std::chrono::duration<double>(latency.Sum()).count());
  fmt::format_to(sink, "{}_count{} {}\n", name, FormatLabels(labels), bins.back().count);
}

}  // namespace

counter& metrics::Counter(std::string_view name, std::string_view labels) {
  return FindOrCreate(mutex_, counters_, series{std::string(name), std::string(labels)});
}

counter& metrics::Gauge(std::string_view name, std::string_view labels) {
  return FindOrCreate(mutex_, gauges_, series{std::string(name), std::string(labels)});
}

latency_histogram& metrics::Latency(std::string_view name, std::string_view labels) {
  return FindOrCreate(mutex_, latencies_, series{std::string(name), std::string(labels)});
}

std::string metrics::Expose() const {
  std::lock_guard lock(mutex_);
  fmt::memory_buffer out;
  std::string last_name;
  for (const auto& [key, value] : counters_) {
    AppendTypeLine(out, last_name, key.name, "counter");
    fmt::format_to(std::back_inserter(out), "{}{} {}\n", key.name, FormatLabels(key.labels),
                   value->Value());
  }
  for (const auto& [key, value] : gauges_) {
    AppendTypeLine(out, last_name, key.name, "gauge");
    fmt::format_to(std::back_inserter(out), "{}{} {}\n", key.name, FormatLabels(key.labels),
                   value->Value());
  }
  for (const auto& [key, value] : latencies_) {
    AppendTypeLine(out, last_name, key.name, "histogram");
    AppendLatency(out, key.name, key.labels, *value);
  }
  return fmt::to_string(out);
}

}  // namespace tarragon
