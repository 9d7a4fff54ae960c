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
  /** Share of ended requests by outcome. */
  kOutcome,
  /** Share of a latency histogram below a threshold. */
  kLatency,
};

/** One service-level objective. */
struct objective {
  std::string name;
  objective_kind kind = objective_kind::kOutcome;
  /** Outcomes that meet the objective; part of `counted`. */
  std::vector<std::string> good;
  /** Outcomes that the objective is about. */
  std::vector<std::string> counted;
  /** Histogram in seconds, without the suffix `_bucket`. */
  std::string metric;
  std::chrono::milliseconds threshold{0};
  /** Request classes; empty for every class. Each class is reported by itself. */
  std::vector<std::string> classes;
  /** `call` or `generation`; empty for both. */
  std::string request_kind;
  /** Share of events that has to be good, above 0 and below 1. */
  double target = 0;
  /** Time over which the error budget, 1 - target, is granted. */
  std::chrono::hours period{0};
};

/** Fires while the burn rate is above `burn` in both windows. */
struct burn_alert {
  std::string name;
  std::chrono::seconds short_window{0};
  std::chrono::seconds long_window{0};
  double burn = 0;
};

/** Objectives and alerts of the service-level burn report. */
struct objective_settings {
  std::vector<objective> objectives;
  /** In rising order. */
  std::vector<std::chrono::seconds> windows;
  std::vector<burn_alert> alerts;

  /**
   * Reads settings and checks all of them.
   * @param file name used in messages.
   * @param errors receives `file:line: key: what was expected` for each fault; may be null.
   * @return empty if anything is wrong.
   */
  static std::optional<objective_settings> Make(std::string_view text,
                                                const std::string& file,
                                                std::vector<std::string>* errors);

  /** As `Make`, for the contents of a file. */
  static std::optional<objective_settings> Load(const std::string& file,
                                                std::vector<std::string>* errors);
};

}  // namespace tarragon::settings

#endif  // TARRAGON_SETTINGS_OBJECTIVE_SETTINGS_H_
