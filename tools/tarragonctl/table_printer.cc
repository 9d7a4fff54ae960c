#include "table_printer.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "tarragon/base/invariant.h"

namespace tarragon::ctl {

table_printer::table_printer(std::vector<std::string> header) {
  rows_.push_back(std::move(header));
}

void table_printer::Add(std::vector<std::string> row) {
  TARRAGON_INVARIANT(row.size() == rows_.front().size(), "a row has one cell for each column");
  rows_.push_back(std::move(row));
}

void table_printer::Print() const {
  std::vector<std::size_t> widths(rows_.front().size(), 0);
  for (const auto& row : rows_) {
    std::ranges::transform(row, widths, widths.begin(), [](const std::string& cell, std::size_t w) {
      return std::max(w, cell.size());
    });
  }
  for (const auto& row : rows_) {
    std::string line;
    for (std::size_t i = 0; i < row.size(); ++i) {
      line += fmt::format("{:<{}}  ", row[i], widths[i]);
    }
    line.erase(line.find_last_not_of(' ') + 1);
    fmt::print("{}\n", line);
  }
}

}  // namespace tarragon::ctl
