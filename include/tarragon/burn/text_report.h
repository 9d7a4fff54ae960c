#ifndef TARRAGON_BURN_TEXT_REPORT_H_
#define TARRAGON_BURN_TEXT_REPORT_H_

#include <string>

#include "tarragon/burn/burn_report.h"

namespace tarragon::burn {

/** @return a span of time in its largest whole unit, such as `5 m`. */
std::string SpanText(std::chrono::seconds span);

/** @return UTC time, as `2026-12-04 05:06:07 UTC`. */
std::string TimeText(wall_time_point at);

/** @return the report as a table for a terminal. */
std::string RenderTable(const burn_report& report);

/** @return the report as one JSON object; a rate or budget without events is null. */
std::string RenderJson(const burn_report& report);

}  // namespace tarragon::burn

#endif  // TARRAGON_BURN_TEXT_REPORT_H_
