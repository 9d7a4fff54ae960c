#include "tarragon/burn/html_report.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <iterator>

#include "tarragon/burn/text_report.h"

namespace tarragon::burn {

namespace {

constexpr double kPlotWidth = 600;
constexpr double kPlotHeight = 150;
constexpr double kMargin = 8;
constexpr double kAxisWidth = 40;

// One column on a phone, several on a wide screen. The colours have a contrast of at least 4.5:1
// to the light and the dark background.
constexpr std::string_view kPageHead = R"(<!DOCTYPE html>
<html lang="en"><head><meta charset="utf-8">
<meta name="viewport" content="width=device-width, initial-scale=1">
<title>Error budget burn</title>
<style>
:root{color-scheme:light dark;--bg:#f4f5f7;--card:#fff;--text:#1b1f24;--dim:#57606a;--line:#d0d7de;
--good:#1a7f37;--bad:#c1121f;--plot:#0b5cad}
@media (prefers-color-scheme:dark){:root{--bg:#0d1117;--card:#161b22;--text:#e6edf3;--dim:#9da7b1;
--line:#30363d;--good:#3fb950;--bad:#ff7b72;--plot:#58a6ff}}
*{box-sizing:border-box}
body{margin:0 auto;padding:1rem;max-width:100rem;background:var(--bg);color:var(--text);
font:16px/1.45 system-ui,sans-serif}
h1{font-size:1.4rem;margin:0}
h2{font-size:1.05rem;margin:0;overflow-wrap:anywhere}
p{margin:.25rem 0}
.dim{color:var(--dim);font-size:.875rem}
main{display:grid;gap:1rem;margin-top:1rem;
grid-template-columns:repeat(auto-fill,minmax(min(100%,26rem),1fr))}
section{background:var(--card);border:1px solid var(--line);border-radius:8px;padding:1rem;
min-width:0}
section.firing{border-color:var(--bad);border-width:2px}
header.row{display:flex;gap:.5rem;justify-content:space-between;align-items:start}
.state{font-weight:600;white-space:nowrap}
.ok{color:var(--good)}.bad{color:var(--bad)}
.scroll{overflow-x:auto}
table{border-collapse:collapse;width:100%;font-variant-numeric:tabular-nums;font-size:.9rem}
th,td{text-align:right;padding:.2rem .4rem;border-bottom:1px solid var(--line)}
th:first-child,td:first-child{text-align:left}
svg{display:block;width:100%;height:auto;margin-top:.5rem}
svg text{fill:var(--dim);font-size:13px}
</style></head><body>
)";

std::string FormatBurnRate(const std::optional<double>& burn) {
  return burn ? fmt::format("{:.2f}", *burn) : "no events";
}

/** Maps burn rates and times to coordinates of the plot. */
class plot_scale final {
 public:
  explicit plot_scale(const burn_row& row) : points_(row.plot) {
    for (const plot_point& point : points_) {
      max_burn_ = std::max(max_burn_, point.burn.value_or(0) * 1.1);
    }
  }

  double X(std::size_t index) const {
    const double share = static_cast<double>(index) / std::max<double>(1, points_.size() - 1.0);
    return kAxisWidth + share * (kPlotWidth - kAxisWidth - kMargin);
  }
  double Y(double burn) const {
    return kPlotHeight - kMargin - burn / max_burn_ * (kPlotHeight - 2 * kMargin);
  }
  double max_burn() const { return max_burn_; }

 private:
  const std::vector<plot_point>& points_;
  // Keeps the line of burn rate 1 inside the plot.
  double max_burn_ = 1.5;
};

void AppendHorizontalLine(std::string& out,
                          const plot_scale& scale,
                          double burn,
                          std::string_view style) {
  fmt::format_to(std::back_inserter(out),
                 "<line x1=\"{}\" x2=\"{}\" y1=\"{:.1f}\" y2=\"{:.1f}\" {}/>"
                 "<text x=\"{}\" y=\"{:.1f}\" text-anchor=\"end\">{:.3g}</text>",
                 kAxisWidth, kPlotWidth - kMargin, scale.Y(burn), scale.Y(burn), style,
                 kAxisWidth - 4, scale.Y(burn) + 4, burn);
}

void AppendPlot(std::string& out, const burn_row& row) {
  const plot_scale scale(row);
  auto sink = std::back_inserter(out);
  fmt::format_to(sink,
                 "<svg viewBox=\"0 0 {} {}\" role=\"img\" aria-label=\"burn rate over time\">",
                 kPlotWidth, kPlotHeight);
  AppendHorizontalLine(out, scale, 0, "stroke=\"var(--line)\"");
  AppendHorizontalLine(out, scale, 1, "stroke=\"var(--dim)\" stroke-dasharray=\"4 4\"");
  for (const alert_state& alert : row.alerts) {
    if (alert.threshold <= scale.max_burn() && alert.threshold > 1) {
      AppendHorizontalLine(out, scale, alert.threshold,
                           "stroke=\"var(--bad)\" stroke-dasharray=\"4 4\"");
    }
  }
  // The line has a gap where there are no events.
  std::string path;
  bool continues_line = false;
  for (std::size_t i = 0; i < row.plot.size(); ++i) {
    if (row.plot[i].burn) {
      fmt::format_to(std::back_inserter(path), "{}{:.1f} {:.1f}", continues_line ? "L" : "M",
                     scale.X(i), scale.Y(*row.plot[i].burn));
    }
    continues_line = row.plot[i].burn.has_value();
  }
  fmt::format_to(sink,
                 "<path d=\"{}\" fill=\"none\" stroke=\"var(--plot)\" stroke-width=\"2\" "
                 "stroke-linecap=\"round\"/></svg>\n",
                 path);
}

void AppendWindows(std::string& out, const burn_row& row) {
  auto sink = std::back_inserter(out);
  out +=
      "<div class=\"scroll\"><table><tr><th>window</th><th>burn rate</th><th>bad events</th>"
      "<th>all events</th><th>covered</th></tr>\n";
  for (const window_burn& window : row.windows) {
    fmt::format_to(sink,
                   "<tr><td>{}</td><td{}>{}</td><td>{:.0f}</td><td>{:.0f}</td>"
                   "<td>{:.0f}%</td></tr>\n",
                   FormatDuration(window.window),
                   window.burn.value_or(0) > 1 ? " class=\"bad\"" : "", FormatBurnRate(window.burn),
                   window.events.Bad(), window.events.total, window.covered * 100);
  }
  out += "</table></div>\n";
}

void AppendRow(std::string& out, const burn_row& row) {
  auto sink = std::back_inserter(out);
  const bool has_events = row.budget_left.has_value();
  std::string state = has_events ? "ok" : "no events";
  for (const alert_state& alert : row.alerts) {
    if (alert.firing) {
      state = state == "ok" ? alert.name : fmt::format("{}, {}", state, alert.name);
    }
  }
  fmt::format_to(sink,
                 "<section{}><header class=\"row\"><h2>{}</h2><span class=\"state {}\">{}</span>"
                 "</header>\n<p class=\"dim\">class {} &middot; target {:.4g}%",
                 row.IsFiring() ? " class=\"firing\"" : "", EscapeHtml(row.objective),
                 row.IsFiring() ? "bad" : (has_events ? "ok" : "dim"), EscapeHtml(state),
                 row.request_class.empty() ? "-" : EscapeHtml(row.request_class), row.target * 100);
  if (row.threshold.count() > 0 && has_events) {
    fmt::format_to(sink, " &middot; bucket bound {:.4g} ms", row.counted_seconds * 1000);
  }
  out += "</p>\n";
  if (has_events) {
    fmt::format_to(sink, "<p class=\"{}\">Error budget left: {:.1f}% of {}</p>\n",
                   *row.budget_left < 0 ? "bad" : "ok", *row.budget_left * 100,
                   FormatDuration(row.period));
    AppendWindows(out, row);
    AppendPlot(out, row);
    fmt::format_to(sink, "<p class=\"dim\">Burn rate in windows of {}</p>\n",
                   FormatDuration(row.windows.front().window));
  }
  out += "</section>\n";
}

}  // namespace

std::string EscapeHtml(std::string_view text) {
  std::string out;
  for (const char c : text) {
    switch (c) {
      case '&':
        out += "&amp;";
        break;
      case '<':
        out += "&lt;";
        break;
      case '>':
        out += "&gt;";
        break;
      case '"':
        out += "&quot;";
        break;
      case '\'':
        out += "&#39;";
        break;
      default:
        out += static_cast<unsigned char>(c) < ' ' ? ' ' : c;
    }
  }
  return out;
}

std::string RenderHtml(const burn_report& report) {
  std::string out(kPageHead);
  const auto firing = std::ranges::count_if(report.rows, &burn_row::IsFiring);
  auto sink = std::back_inserter(out);
  fmt::format_to(sink,
                 "<header><h1>Error budget burn</h1>\n<p class=\"{}\">{} of {} objectives per "
                 "request class have a firing alert</p>\n",
                 firing > 0 ? "bad" : "ok", firing, report.rows.size());
  fmt::format_to(sink, "<p class=\"dim\">{} to {}</p>\n", FormatUtcTime(report.from),
                 FormatUtcTime(report.to));
  fmt::format_to(sink,
                 "<p class=\"dim\">{} samples of {} entries, {} restarts, {} damaged scrapes. "
                 "At a burn rate of 1, the error budget is used up exactly at the end of the "
                 "period.</p>\n</header><main>\n",
                 report.samples, report.entries.size(), report.restarts, report.damaged_scrapes);
  for (const burn_row& row : report.rows) {
    AppendRow(out, row);
  }
  out += "</main></body></html>\n";
  return out;
}

}  // namespace tarragon::burn
