#ifndef TARRAGON_BURN_EXPOSITION_H_
#define TARRAGON_BURN_EXPOSITION_H_

#include <cstddef>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace tarragon::burn {

/** Value of one time series in a scrape. */
struct metric_point {
  std::string name;
  std::map<std::string, std::string, std::less<>> labels;
  double value = 0;

  /** @return the value of the label, or an empty string. */
  std::string_view Label(std::string_view key) const;
};

struct exposition {
  std::vector<metric_point> points;
  /** Number of lines that are neither a comment nor a finite, non-negative sample. */
  std::size_t damaged_lines = 0;
};

/** Parses the text exposition format, version 0.0.4. Damaged lines are counted and skipped. */
exposition ParseExposition(std::string_view text);

/** @return the lines of `text` whose metric name starts with one of `prefixes`. */
std::string FilterMetrics(std::string_view text, const std::vector<std::string>& prefixes);

}  // namespace tarragon::burn

#endif  // TARRAGON_BURN_EXPOSITION_H_
