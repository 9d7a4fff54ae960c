#ifndef TARRAGON_TOOLS_TARRAGONCTL_TABLE_PRINTER_H_
#define TARRAGON_TOOLS_TARRAGONCTL_TABLE_PRINTER_H_

#include <string>
#include <vector>

namespace tarragon::ctl {

/** Prints a table with aligned columns to standard output. */
class table_printer final {
 public:
  explicit table_printer(std::vector<std::string> header);

  /** @param row must have as many cells as the header. */
  void Add(std::vector<std::string> row);
  void Print() const;

 private:
  std::vector<std::vector<std::string>> rows_;
};

}  // namespace tarragon::ctl

#endif  // TARRAGON_TOOLS_TARRAGONCTL_TABLE_PRINTER_H_
