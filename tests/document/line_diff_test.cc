#include "tarragon/document/line_diff.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <string>
#include <vector>

namespace tarragon::document {
namespace {

std::string MakeText(const std::vector<bool>& lines) {
  std::string text;
  for (const bool line : lines) {
    text += line ? "a\n" : "b\n";
  }
  return text;
}

// Guards against a diff that omits a change or reports one between equal texts.
RC_GTEST_PROP(LineDiff,
              CountsMatchAndEqualTextsAreEmpty,
              (const std::vector<bool>& before, const std::vector<bool>& after)) {
  const std::string diff = LineDiff(MakeText(before), MakeText(after));
  RC_ASSERT(diff.empty() == (before == after));
  std::ptrdiff_t added = 0;
  for (std::size_t at = 0; at < diff.size(); at = diff.find('\n', at) + 1) {
    added += diff[at] == '+' ? 1 : (diff[at] == '-' ? -1 : 0);
  }
  RC_ASSERT(added ==
            static_cast<std::ptrdiff_t>(after.size()) - static_cast<std::ptrdiff_t>(before.size()));
}

// Guards against wrong line numbers in the group header.
TEST(LineDiff, ReportsLineNumbersAndBothLines) {
  EXPECT_EQ(LineDiff("a\nb\nc\n", "a\nx\nc\n"), "@@ -2 +2 @@\n-b\n+x\n");
}

}  // namespace
}  // namespace tarragon::document
