#ifndef TARRAGON_SRC_DOCUMENT_SECTION_PARSER_H_
#define TARRAGON_SRC_DOCUMENT_SECTION_PARSER_H_

#include <vector>

#include "tarragon/document/operating_document.h"

namespace tarragon::document {

/** An entry of a section and the line on which it starts. */
template <typename T>
struct located {
  T value;
  int line = 0;
};

/** Entries of all sections with their lines, for errors about references. */
struct parsed_document {
  std::vector<located<model_settings>> models;
  std::vector<located<client_account>> accounts;
  std::vector<located<request_class>> classes;
  std::vector<located<service_settings>> services;
  std::vector<located<endpoint_settings>> endpoints;
  std::vector<located<vm_settings>> vms;
  std::vector<located<drill_step>> drill;
};

/** Parses one section into `parsed`; appends schema faults to `errors`. */
void ParseSection(const section& source,
                  parsed_document& parsed,
                  std::vector<document_error>& errors);

}  // namespace tarragon::document

#endif  // TARRAGON_SRC_DOCUMENT_SECTION_PARSER_H_
