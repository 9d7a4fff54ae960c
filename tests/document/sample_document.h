#ifndef TARRAGON_TESTS_DOCUMENT_SAMPLE_DOCUMENT_H_
#define TARRAGON_TESTS_DOCUMENT_SAMPLE_DOCUMENT_H_

#include <filesystem>
#include <fstream>
#include <iterator>
#include <string>
#include <vector>

#include "tarragon/document/operating_document.h"

namespace tarragon::document {

/** @return the sections in examples/document/<deployment>, each at version 1. */
inline std::vector<section> SampleSections(const std::string& deployment) {
  const std::filesystem::path folder =
      std::filesystem::path(__FILE__).parent_path().parent_path().parent_path() / "examples" /
      "document" / deployment;
  std::vector<section> sections;
  for (const std::string& name : SectionNames()) {
    std::ifstream file(folder / (name + ".toml"));
    sections.push_back({.name = name,
                        .version = 1,
                        .edit_id = "sample-" + name,
                        .author = "sample",
                        .text = {std::istreambuf_iterator<char>(file), {}}});
  }
  return sections;
}

}  // namespace tarragon::document

#endif  // TARRAGON_TESTS_DOCUMENT_SAMPLE_DOCUMENT_H_
