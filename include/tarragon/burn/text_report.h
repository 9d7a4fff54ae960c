#ifndef TARRAGON_BURN_TEXT_REPORT_H_
#define TARRAGON_BURN_TEXT_REPORT_H_

#include <string>

#include "tarragon/burn/burn_report.h"

namespace tarragon::burn {

/** @return a duration in the largest unit that divides it, such as `5 m`. */
std::string FormatDuration(std::chrono::seconds span);

/** @return a UTC time, such as `2026-12-04 05:06:07 UTC`. */
std::string FormatUtcTime(wall_time_point at);

/** @return the report as a table for a terminal. */
std::string RenderTable(const burn_report& report);

/** @return the report as one JSON object; burn rates and budgets without events are null. */
std::string RenderJson(const burn_report& report);

}  // namespace tarragon::burn

#endif  // TARRAGON_BURN_TEXT_REPORT_H_
