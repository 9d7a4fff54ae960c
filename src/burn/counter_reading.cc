#include "burn/counter_reading.h"

#include <algorithm>
#include <charconv>
#include <cstdint>
#include <limits>
#include <utility>

#include "tarragon/base/metric_names.h"

namespace tarragon::burn {

namespace {

// Later start times are treated as damaged: the conversion of the milliseconds could overflow.
constexpr double kMaxStartMs = 1e14;

bool IsSelected(const settings::objective& objective, const metric_point& point) {
  const auto matches = [](const std::vector<std::string>& wanted, std::string_view value) {
    return wanted.empty() || std::ranges::find(wanted, value) != wanted.end();
  };
  return !point.Label("class").empty() && matches(objective.classes, point.Label("class")) &&
         (objective.request_kind.empty() || point.Label("kind") == objective.request_kind);
}

objective_reading ReadOutcomes(const settings::objective& objective,
                               const std::vector<metric_point>& points) {
  objective_reading reading;
  for (const metric_point& point : points) {
    if (point.name != kOutcomesMetric || !IsSelected(objective, point)) {
      continue;
    }
    const auto contains_outcome = [&](const std::vector<std::string>& outcomes) {
      return std::ranges::find(outcomes, point.Label("outcome")) != outcomes.end();
    };
    event_counts& counts = reading.classes[std::string(point.Label("class"))];
    counts.good += contains_outcome(objective.good) ? point.value : 0;
    counts.total += contains_outcome(objective.counted) ? point.value : 0;
  }
  return reading;
}

double BucketBound(const metric_point& point) {
  const std::string_view text = point.Label("le");
  double bound = 0;
  const auto parsed = std::from_chars(text.data(), text.data() + text.size(), bound);
  return parsed.ec == std::errc() && parsed.ptr == text.data() + text.size()
             ? bound
             : std::numeric_limits<double>::infinity();
}

objective_reading ReadLatency(const settings::objective& objective,
                              const std::vector<metric_point>& points) {
  const std::string buckets = objective.metric + "_bucket";
  const std::string count = objective.metric + "_count";
  const double threshold = std::chrono::duration<double>(objective.threshold).count();
  objective_reading reading;
  for (const metric_point& point : points) {
    if (point.name == buckets && IsSelected(objective, point) && BucketBound(point) <= threshold) {
      reading.counted_seconds = std::max(reading.counted_seconds, BucketBound(point));
    }
  }
  for (const metric_point& point : points) {
    const bool is_bucket = point.name == buckets;
    if ((is_bucket || point.name == count) && IsSelected(objective, point)) {
      event_counts& counts = reading.classes[std::string(point.Label("class"))];
      if (!is_bucket) {
        counts.total += point.value;
      } else if (BucketBound(point) == reading.counted_seconds) {
        counts.good += point.value;
      }
    }
  }
  return reading;
}

bool IsCounter(const metric_point& point) {
  return point.name.ends_with("_total") || point.name.ends_with("_bucket") ||
         point.name.ends_with("_count");
}

std::string SeriesKey(const metric_point& point) {
  std::string key = point.name;
  for (const auto& [label, value] : point.labels) {
    key.append(1, '\0').append(label).append(1, '\0').append(value);
  }
  return key;
}

}  // namespace

objective_reading ReadObjective(const settings::objective& objective,
                                const std::vector<metric_point>& points) {
  return objective.kind == settings::objective_kind::kOutcome ? ReadOutcomes(objective, points)
                                                              : ReadLatency(objective, points);
}

scrape_check restart_detector::Check(wall_time_point at,
                                     wall_time_point history_start,
                                     const std::vector<metric_point>& points) {
  std::map<std::string, double> values;
  std::optional<wall_time_point> start_time;
  for (const metric_point& point : points) {
    if (IsCounter(point)) {
      values.emplace(SeriesKey(point), point.value);
    } else if (point.name == kProcessStartMetric && point.value <= kMaxStartMs) {
      start_time =
          wall_time_point(std::chrono::milliseconds(static_cast<std::int64_t>(point.value)));
    }
  }
  const bool has_decrease = std::ranges::any_of(last_values_, [&](const auto& before) {
    const auto after = values.find(before.first);
    return after == values.end() || after->second < before.second;
  });
  if (values.empty() && !start_time) {
    return {};
  }
  // If the entry exposes a start time, a decreased counter indicates a restart only together with a
  // changed start time. Otherwise the scrape is damaged, and treating it as a restart would count
  // earlier events twice.
  if (last_start_time_ && (!start_time || (has_decrease && *start_time == *last_start_time_))) {
    return {};
  }
  const bool restarted =
      last_scrape_time_ && (last_start_time_ ? *start_time != *last_start_time_ : has_decrease);
  restarts_ += restarted ? 1 : 0;

  std::optional<wall_time_point> reset_time;
  if (restarted) {
    // The clocks of the entry and of the scraper may differ, so the start time is used only if it
    // lies between the two scrapes.
    reset_time = start_time && *start_time > *last_scrape_time_ && *start_time < at
                     ? *start_time
                     : *last_scrape_time_;
  } else if (!last_scrape_time_ && start_time && *start_time >= history_start && *start_time < at) {
    reset_time = *start_time;
  }
  last_values_ = std::move(values);
  last_start_time_ = start_time;
  last_scrape_time_ = at;
  return {.usable = true, .reset_time = reset_time};
}

}  // namespace tarragon::burn
