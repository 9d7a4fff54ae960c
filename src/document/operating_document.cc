#include "tarragon/document/operating_document.h"

#include <fmt/format.h>

#include <algorithm>
#include <set>
#include <utility>

#include "document_checks.h"
#include "section_parser.h"

namespace tarragon::document {

namespace {

template <typename T>
std::vector<T> ExtractValues(std::vector<located_entry<T>> entries) {
  std::vector<T> values;
  values.reserve(entries.size());
  for (located_entry<T>& entry : entries) {
    values.push_back(std::move(entry.value));
  }
  return values;
}

template <typename T, typename Member>
const T* FindByMember(const std::vector<T>& entries, Member member, std::string_view value) {
  const auto found = std::ranges::find(entries, value, member);
  return found == entries.end() ? nullptr : &*found;
}

void CheckSectionNames(const std::vector<section>& sections, std::vector<document_error>& errors) {
  std::set<std::string_view> seen;
  for (const section& entry : sections) {
    if (!seen.insert(entry.name).second) {
      errors.push_back({entry.name, 0, "section appears more than once"});
    }
  }
}

}  // namespace

document_ptr operating_document::Make(std::uint64_t version,
                                      std::vector<section> sections,
                                      std::vector<document_error>* errors) {
  std::vector<document_error> found;
  parsed_document parsed;
  CheckSectionNames(sections, found);
  for (const section& entry : sections) {
    ParseSection(entry, parsed, found);
  }
  CheckDocument(parsed, found);
  const bool valid = found.empty();
  if (errors != nullptr) {
    *errors = std::move(found);
  }
  if (!valid) {
    return nullptr;
  }
  document_contents contents{
      .models = ExtractValues(std::move(parsed.models)),
      .accounts = ExtractValues(std::move(parsed.accounts)),
      .classes = ExtractValues(std::move(parsed.classes)),
      .services = ExtractValues(std::move(parsed.services)),
      .endpoints = ExtractValues(std::move(parsed.endpoints)),
      .vms = ExtractValues(std::move(parsed.vms)),
      .drill = ExtractValues(std::move(parsed.drill)),
  };
  return document_ptr(new operating_document(version, std::move(sections), std::move(contents)));
}

document_ptr operating_document::MakeForTesting(std::uint64_t version, document_contents contents) {
  return document_ptr(new operating_document(version, {}, std::move(contents)));
}

operating_document::operating_document(std::uint64_t version,
                                       std::vector<section> sections,
                                       document_contents contents)
    : version_(version), sections_(std::move(sections)), contents_(std::move(contents)) {}

const section* operating_document::FindSection(std::string_view name) const {
  return FindByMember(sections_, &section::name, name);
}

const model_settings* operating_document::FindModel(std::string_view name) const {
  return FindByMember(contents_.models, &model_settings::name, name);
}

const client_account* operating_document::FindAccount(std::string_view name) const {
  return FindByMember(contents_.accounts, &client_account::name, name);
}

const client_account* operating_document::FindAccountByTokenHash(
    std::string_view token_sha256) const {
  // An empty hash must not match an account without a token, which only tests create.
  return token_sha256.empty()
             ? nullptr
             : FindByMember(contents_.accounts, &client_account::token_sha256, token_sha256);
}

const request_class* operating_document::FindClass(std::string_view name) const {
  return FindByMember(contents_.classes, &request_class::name, name);
}

const service_settings* operating_document::FindService(std::string_view name) const {
  return FindByMember(contents_.services, &service_settings::name, name);
}

const service_settings* operating_document::FindServiceOfModel(std::string_view model) const {
  return model.empty() ? nullptr
                       : FindByMember(contents_.services, &service_settings::model, model);
}

const endpoint_settings* operating_document::FindEndpoint(std::string_view name) const {
  return FindByMember(contents_.endpoints, &endpoint_settings::name, name);
}

const std::vector<std::string>& SectionNames() {
  static const std::vector<std::string>* const kNames =
      new std::vector<std::string>{"models", "accounts", "classes", "services", "fleet", "drill"};
  return *kNames;
}

}  // namespace tarragon::document
