#ifndef TARRAGON_BURN_HTML_REPORT_H_
#define TARRAGON_BURN_HTML_REPORT_H_

#include <string>
#include <string_view>

#include "tarragon/burn/burn_report.h"

namespace tarragon::burn {

/** Escapes text for an element or a quoted attribute; control characters become spaces. */
std::string EscapeHtml(std::string_view text);

/** @return a self-contained page, without scripts or references to other files. */
std::string RenderHtml(const burn_report& report);

}  // namespace tarragon::burn

#endif  // TARRAGON_BURN_HTML_REPORT_H_
