#ifndef TARRAGON_SRC_DOCUMENT_SECTION_PARSER_H_
#define TARRAGON_SRC_DOCUMENT_SECTION_PARSER_H_

#include <vector>

#include "tarragon/document/operating_document.h"

namespace tarragon::document {

/** An entry of a section with the line on which it starts. */
template <typename T>
struct located_entry {
  T value;
  int line = 0;
};

/** Entries of all sections. The lines are used in error messages about references. */
struct parsed_document {
  std::vector<located_entry<model_settings>> models;
  std::vector<located_entry<client_account>> accounts;
  std::vector<located_entry<request_class>> classes;
  std::vector<located_entry<service_settings>> services;
  std::vector<located_entry<endpoint_settings>> endpoints;
  std::vector<located_entry<vm_settings>> vms;
  std::vector<located_entry<drill_step>> drill;
};

/** Parses one section into `parsed`; appends schema errors to `errors`. */
void ParseSection(const section& source,
                  parsed_document& parsed,
                  std::vector<document_error>& errors);

}  // namespace tarragon::document

#endif  // TARRAGON_SRC_DOCUMENT_SECTION_PARSER_H_
