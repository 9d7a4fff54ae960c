#ifndef TARRAGON_SRC_DOCUMENT_DOCUMENT_CHECKS_H_
#define TARRAGON_SRC_DOCUMENT_DOCUMENT_CHECKS_H_

#include <vector>

#include "section_parser.h"

namespace tarragon::document {

/** Checks duplicate names, references between sections and that each service can be served. */
void CheckDocument(const parsed_document& parsed, std::vector<document_error>& errors);

}  // namespace tarragon::document

#endif  // TARRAGON_SRC_DOCUMENT_DOCUMENT_CHECKS_H_
