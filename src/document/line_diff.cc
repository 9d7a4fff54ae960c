#include "tarragon/document/line_diff.h"

#include <fmt/format.h>

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <iterator>
#include <span>
#include <vector>

namespace tarragon::document {

namespace {

using line_span = std::span<const std::string_view>;

// Above this many cells (4 bytes each, 16 MiB in total), a readable diff is not worth the memory of
// the table of common subsequences; the changed range is shown as removed and added as a whole.
constexpr std::size_t kMaxTableCells = std::size_t{4} << 20;

std::vector<std::string_view> SplitLines(std::string_view text) {
  std::vector<std::string_view> lines;
  while (!text.empty()) {
    const std::size_t end = std::min(text.find('\n'), text.size());
    lines.push_back(text.substr(0, end));
    text.remove_prefix(std::min(end + 1, text.size()));
  }
  return lines;
}

class diff_writer final {
 public:
  diff_writer(std::size_t before_line, std::size_t after_line)
      : before_line_(before_line), after_line_(after_line) {}

  void SkipCommonLine() {
    ++before_line_;
    ++after_line_;
    in_group_ = false;
  }
  void WriteRemoved(std::string_view line) {
    Write('-', line);
    ++before_line_;
  }
  void WriteAdded(std::string_view line) {
    Write('+', line);
    ++after_line_;
  }
  std::string TakeText() { return std::move(text_); }

 private:
  void Write(char sign, std::string_view line) {
    if (!in_group_) {
      fmt::format_to(std::back_inserter(text_), "@@ -{} +{} @@\n", before_line_, after_line_);
      in_group_ = true;
    }
    fmt::format_to(std::back_inserter(text_), "{}{}\n", sign, line);
  }

  std::size_t before_line_;
  std::size_t after_line_;
  bool in_group_ = false;
  std::string text_;
};

/** Writes the diff that keeps a longest common subsequence of the lines. */
void WriteDifference(line_span before, line_span after, diff_writer& writer) {
  const std::size_t width = after.size() + 1;
  if ((before.size() + 1) * width > kMaxTableCells) {
    std::ranges::for_each(before, [&writer](std::string_view line) { writer.WriteRemoved(line); });
    std::ranges::for_each(after, [&writer](std::string_view line) { writer.WriteAdded(line); });
    return;
  }
  // common[i * width + j]: length of the longest common subsequence of before[i..] and after[j..].
  std::vector<std::uint32_t> common((before.size() + 1) * width, 0);
  for (std::size_t i = before.size(); i-- > 0;) {
    for (std::size_t j = after.size(); j-- > 0;) {
      common[i * width + j] =
          before[i] == after[j] ? common[(i + 1) * width + j + 1] + 1
                                : std::max(common[(i + 1) * width + j], common[i * width + j + 1]);
    }
  }
  std::size_t i = 0;
  std::size_t j = 0;
  while (i < before.size() || j < after.size()) {
    if (i < before.size() && j < after.size() && before[i] == after[j]) {
      writer.SkipCommonLine();
      ++i, ++j;
    } else if (j == after.size() ||
               (i < before.size() && common[(i + 1) * width + j] >= common[i * width + j + 1])) {
      writer.WriteRemoved(before[i++]);
    } else {
      writer.WriteAdded(after[j++]);
    }
  }
}

}  // namespace

std::string LineDiff(std::string_view before, std::string_view after) {
  const std::vector<std::string_view> before_lines = SplitLines(before);
  const std::vector<std::string_view> after_lines = SplitLines(after);
  line_span old_lines = before_lines;
  line_span new_lines = after_lines;
  const auto [old_end, new_end] = std::ranges::mismatch(old_lines, new_lines);
  const auto prefix = static_cast<std::size_t>(old_end - old_lines.begin());
  old_lines = old_lines.subspan(prefix);
  new_lines = new_lines.subspan(prefix);
  while (!old_lines.empty() && !new_lines.empty() && old_lines.back() == new_lines.back()) {
    old_lines = old_lines.first(old_lines.size() - 1);
    new_lines = new_lines.first(new_lines.size() - 1);
  }
  diff_writer writer(prefix + 1, prefix + 1);
  WriteDifference(old_lines, new_lines, writer);
  return writer.TakeText();
}

}  // namespace tarragon::document
