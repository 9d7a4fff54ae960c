#ifndef TARRAGON_SETTINGS_OBJECTIVE_SETTINGS_H_
#define TARRAGON_SETTINGS_OBJECTIVE_SETTINGS_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace tarragon::settings {

enum class objective_kind : std::uint8_t {
  /** Share of finished requests with a good outcome. */
  kOutcome,
  /** Share of the samples of a latency histogram below a threshold. */
  kLatency,
};

/** One service-level objective. */
struct objective {
  std::string name;
  objective_kind kind = objective_kind::kOutcome;
  /** Outcomes that meet the objective; a subset of `counted`. */
  std::vector<std::string> good;
  /** Outcomes that count as events of the objective. */
  std::vector<std::string> counted;
  /** Name of a histogram in seconds, without the suffix `_bucket`. */
  std::string metric;
  std::chrono::milliseconds threshold{0};
  /** Request classes; empty for every class. Each class is reported separately. */
  std::vector<std::string> classes;
  /** `call` or `generation`; empty for both. */
  std::string request_kind;
  /** Required share of good events, above 0 and below 1. */
  double target = 0;
  /** Period of the error budget, which is 1 - target. */
  std::chrono::hours period{0};
};

/** Alert that fires while the burn rate is above `burn` in both windows. */
struct burn_alert {
  std::string name;
  std::chrono::seconds short_window{0};
  std::chrono::seconds long_window{0};
  double burn = 0;
};

/** Objectives and alerts of the burn rate report. */
struct objective_settings {
  std::vector<objective> objectives;
  /** All windows of the alerts, in ascending order. */
  std::vector<std::chrono::seconds> windows;
  std::vector<burn_alert> alerts;

  /**
   * Parses and validates settings.
   * @param file file name for error messages.
   * @param errors receives `file:line: key: expected ...` for each error; may be null.
   * @return empty if there is any error.
   */
  static std::optional<objective_settings> Make(std::string_view text,
                                                const std::string& file,
                                                std::vector<std::string>* errors);

  /** Like `Make`, with the contents of a file. */
  static std::optional<objective_settings> Load(const std::string& file,
                                                std::vector<std::string>* errors);
};

}  // namespace tarragon::settings

#endif  // TARRAGON_SETTINGS_OBJECTIVE_SETTINGS_H_
