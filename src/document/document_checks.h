#ifndef TARRAGON_SRC_DOCUMENT_DOCUMENT_CHECKS_H_
#define TARRAGON_SRC_DOCUMENT_DOCUMENT_CHECKS_H_

#include <vector>

#include "section_parser.h"

namespace tarragon::document {

/**
 * Reports duplicate names, tokens and addresses, dangling references between sections, services
 * without a serving endpoint, and invalid drill steps.
 */
void CheckDocument(const parsed_document& parsed, std::vector<document_error>& errors);

}  // namespace tarragon::document

#endif  // TARRAGON_SRC_DOCUMENT_DOCUMENT_CHECKS_H_
