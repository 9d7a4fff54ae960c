#include "tarragon/document/operating_document.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <string>
#include <vector>

#include "document/sample_document.h"

namespace tarragon::document {
namespace {

std::vector<document_error> ErrorsAfter(std::string_view name,
                                        const std::string& from,
                                        const std::string& to) {
  std::vector<section> sections = SampleSections("lanhai");
  section& edited = *std::ranges::find(sections, name, &section::name);
  const std::size_t at = edited.text.find(from);
  EXPECT_NE(at, std::string::npos) << from;
  edited.text.replace(at, from.size(), to);
  std::vector<document_error> errors;
  EXPECT_EQ(operating_document::Make(1, sections, &errors), nullptr);
  return errors;
}

// Guards against example documents that fail validation.
TEST(OperatingDocument, ExampleDocumentsAreValid) {
  for (const char* deployment : {"lanhai", "dobrescu"}) {
    std::vector<document_error> errors;
    const document_ptr made = operating_document::Make(7, SampleSections(deployment), &errors);
    ASSERT_NE(made, nullptr) << errors.front().section << ":" << errors.front().line << " "
                             << errors.front().message;
    EXPECT_EQ(made->version(), 7U);
    EXPECT_EQ(made->contents().endpoints.size(), 15U);
    EXPECT_EQ(made->contents().accounts.size(), 10U);
    for (const endpoint_settings& endpoint : made->contents().endpoints) {
      EXPECT_EQ(made->FindEndpoint(endpoint.name), &endpoint);
      EXPECT_NE(made->FindService(endpoint.service), nullptr);
    }
  }
}

struct invalid_edit {
  const char* section;
  const char* from;
  const char* to;
  const char* message;
};

// Guards against accepting an invalid document, and against an error without its section and line.
TEST(OperatingDocument, RefusesInvalidEditWithLine) {
  const std::vector<invalid_edit> edits = {
      {"models", "min_serving_share", "min_serving_shar", "unknown key"},
      {"models", "min_serving_share = 0.5", "min_serving_share = 1.5", "outside of [0, 1]"},
      {"models", "version = \"2026-11\"", "version = 11", "expected a string, found integer"},
      {"models", "[[model]]", "[[model", "Error while parsing table header"},
      {"accounts", "weight = 8", "weight = 0", "above 0"},
      {"accounts", "name = \"kaohsiung-surface\"", "name = \"taoyuan-blast\"", "more than once"},
      {"accounts", "token_sha256 = \"", "token_sha256 = \"x", "SHA-256"},
      {"classes", "\"hold\"", "\"keep\"", "expected one of hold, restart, end"},
      {"classes", "default_deadline_ms = 5000", "default_deadline_ms = 0", "outside of"},
      {"classes", "urgent = true", "urgent = 1", "expected true or false"},
      {"services", "model = \"drafter\"", "model = \"writer\"", "not in section models"},
      {"services", "default_class = \"quote\"", "default_class = \"q\"", "not in section classes"},
      {"services", "\"/bookings", "\"bookings", "must start with '/'"},
      {"fleet", "service = \"drafter\"", "service = \"d\"", "not in section services"},
      {"fleet", "127.0.0.1:21001", "host:21001", "expected ip:port"},
      {"fleet", "127.0.0.1:21001", "127.0.0.1:70000", "expected ip:port"},
      {"fleet", "127.0.0.1:21001", "127.0.0.1:21002", "has the same address as"},
      {"drill", "target = \"tw-north-a\"", "target = \"tw-north-x\"",
       "failure domain 'tw-north-x' does not exist"},
      {"drill", "requests = 50", "requests = 0", "at least 1"},
  };
  for (const invalid_edit& edit : edits) {
    const std::vector<document_error> errors = ErrorsAfter(edit.section, edit.from, edit.to);
    const bool reported = std::ranges::any_of(errors, [&edit](const document_error& error) {
      return error.section == edit.section && error.line > 0 &&
             error.message.find(edit.message) != std::string::npos;
    });
    EXPECT_TRUE(reported) << edit.message
                          << ", first: " << (errors.empty() ? "none" : errors.front().message);
  }
}

// Guards against an edit that leaves a service without a serving endpoint.
TEST(OperatingDocument, RefusesFleetThatCannotServe) {
  std::vector<section> sections = SampleSections("lanhai");
  section& fleet = *std::ranges::find(sections, "fleet", &section::name);
  const std::string service = "service = \"booking-api\"\n";
  std::size_t at = 0;
  while ((at = fleet.text.find(service, at)) != std::string::npos) {
    fleet.text.insert(at, "state = \"leaving\"\n");
    at += service.size() + 20;
  }
  std::vector<document_error> errors;
  EXPECT_EQ(operating_document::Make(1, sections, &errors), nullptr);
  ASSERT_EQ(errors.size(), 1U);
  EXPECT_EQ(errors[0].section, "fleet");

  section& services = *std::ranges::find(sections, "services", &section::name);
  services.text += "must_serve = false\n";
  EXPECT_NE(operating_document::Make(1, sections, &errors), nullptr);
}

// Guards against authenticating a request without a token.
TEST(OperatingDocument, EmptyTokenHashMatchesNoAccount) {
  document_contents contents;
  contents.accounts.emplace_back().name = "a";
  const document_ptr made = operating_document::MakeForTesting(1, contents);
  EXPECT_EQ(made->FindAccountByTokenHash(""), nullptr);
  EXPECT_NE(made->FindAccount("a"), nullptr);
}

}  // namespace
}  // namespace tarragon::document
