#ifndef TARRAGON_DOCUMENT_LINE_DIFF_H_
#define TARRAGON_DOCUMENT_LINE_DIFF_H_

#include <string>
#include <string_view>

namespace tarragon::document {

/**
 * @return the lines that differ, each with the prefix `-` (only in `before`) or `+` (only in
 *     `after`), grouped under `@@ -<line> +<line> @@` headers; empty if the texts have the same
 *     lines.
 */
std::string LineDiff(std::string_view before, std::string_view after);

}  // namespace tarragon::document

#endif  // TARRAGON_DOCUMENT_LINE_DIFF_H_
