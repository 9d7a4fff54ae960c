#include "tarragon/net/admin_api.h"

#include <gtest/gtest.h>

#include <nlohmann/json.hpp>
#include <string>

#include "document/sample_document.h"
#include "store/fake_platform_store.h"
#include "tarragon/base/hash.h"
#include "tarragon/base/manual_clock.h"

namespace tarragon::net {
namespace {

using json = nlohmann::json;

store::document_service_options MakeServiceOptions() {
  store::document_service_options options;
  for (const std::string& name : document::SectionNames()) {
    options.owners[name] = name == "fleet" ? "operations" : "models";
  }
  return options;
}

class admin_api_test : public testing::Test {
 protected:
  admin_api_test()
      : service_(store_, MakeServiceOptions(), [](std::chrono::milliseconds) {}),
        api_(
            {.vm = "entry-01",
             .teams_by_token_sha256 = {{Sha256Hex("m"), "models"}, {Sha256Hex("o"), "operations"}}},
            service_,
            replica_,
            [this] { return members_; },
            time_) {
    EXPECT_EQ(service_.Initialize(document::SampleSections("lanhai")).status,
              store::edit_status::kAccepted);
  }

  admin_response Call(const std::string& method,
                      const std::string& path,
                      header_map headers = {},
                      const std::string& body = {}) {
    headers.emplace("Authorization", "Bearer m");
    return api_.Handle(
        {.method = method, .path = path, .headers = std::move(headers), .body = body});
  }

  store::fake_platform_store store_;
  store::document_service service_;
  document::document_replica replica_;
  std::vector<membership::member_view> members_;
  manual_clock time_;
  admin_api api_;
};

// Guards against access without a token, with an invalid token, and to another team's section.
TEST_F(admin_api_test, TokenAndOwnerAreChecked) {
  const admin_request anonymous{
      .method = "GET", .path = "/admin/document", .headers = {}, .body = {}};
  EXPECT_EQ(api_.Handle(anonymous).status, 401);
  EXPECT_EQ(Call("GET", "/admin/document", {{"authorization", "Bearer x"}}).status, 401);
  const std::string text = Call("GET", "/admin/document/sections/fleet").body;
  EXPECT_EQ(Call("PUT", "/admin/document/sections/fleet", {{"If-Match", "\"1\""}, {"Edit-Id", "a"}},
                 text + "# x\n")
                .status,
            403);
}

// Guards against an accepted edit that is not in force on the VM that accepted it, and against a
// conflict that is reported without the difference between the texts.
TEST_F(admin_api_test, PutIsConditionalAndTakesEffectAtOnce) {
  const admin_response read = Call("GET", "/admin/document/sections/models");
  EXPECT_EQ(read.headers.at("etag"), "\"1\"");
  const admin_response written =
      Call("PUT", "/admin/document/sections/models", {{"If-Match", "\"1\""}, {"Edit-Id", "a"}},
           read.body + "# a\n");
  EXPECT_EQ(written.status, 200);
  EXPECT_EQ(written.headers.at("ETag"), "\"2\"");
  EXPECT_EQ(replica_.Version(), 2U);
  const admin_response lost = Call("PUT", "/admin/document/sections/models",
                                   {{"If-Match", "\"1\""}, {"Edit-Id", "b"}}, read.body + "# b\n");
  EXPECT_EQ(lost.status, 412);
  EXPECT_NE(json::parse(lost.body)["error"]["difference"].get<std::string>().find("+# b"),
            std::string::npos);
  EXPECT_EQ(Call("PUT", "/admin/document/sections/models",
                 {{"If-Match", "\"1\""}, {"Edit-Id", "a"}}, read.body + "# a\n")
                .status,
            200);
  EXPECT_EQ(Call("PUT", "/admin/document/sections/models", {{"Edit-Id", "c"}}, "").status, 428);
  EXPECT_EQ(Call("PUT", "/admin/document/sections/models", {{"If-Match", "2"}}, "").status, 400);
}

// Guards against an invalid document that is reported without the line of the error, and against a
// platform outage that is reported as another error than unavailable.
TEST_F(admin_api_test, ErrorsAreReported) {
  const admin_response invalid =
      Call("PUT", "/admin/document/sections/models", {{"If-Match", "1"}, {"Edit-Id", "a"}},
           "[[model]]\nname = 1\nversion = \"1\"\n");
  EXPECT_EQ(invalid.status, 422);
  EXPECT_EQ(json::parse(invalid.body)["error"]["errors"][0]["line"], 2);
  store_.SetFaultScript([](store::store_call) { return store::store_fault::kOutage; });
  EXPECT_EQ(Call("GET", "/admin/document").status, 503);
  EXPECT_EQ(
      Call("PUT", "/admin/document/sections/models", {{"If-Match", "1"}, {"Edit-Id", "a"}}, "x")
          .status,
      503);
}

// Guards against an undo or a history that returns another text than the one that was in force.
TEST_F(admin_api_test, HistoryAndUndoReturnEarlierTexts) {
  const std::string before = Call("GET", "/admin/document/sections/models").body;
  ASSERT_EQ(Call("PUT", "/admin/document/sections/models", {{"If-Match", "1"}, {"Edit-Id", "a"}},
                 before + "# a\n")
                .status,
            200);
  EXPECT_EQ(Call("POST", "/admin/document/sections/models/undo",
                 {{"If-Match", "2"}, {"Edit-Id", "u"}}, R"({"version":1})")
                .status,
            200);
  EXPECT_EQ(Call("GET", "/admin/document/sections/models").body, before);
  EXPECT_EQ(Call("GET", "/admin/document/sections/models/history/2").body, before + "# a\n");
  const json list = json::parse(Call("GET", "/admin/document/sections/models/history").body);
  ASSERT_EQ(list["versions"].size(), 3U);
  EXPECT_EQ(list["versions"][1]["edit_id"], "a");
  EXPECT_EQ(Call("GET", "/admin/document/sections/models/history/9").status, 404);
  EXPECT_EQ(Call("GET", "/admin/document/sections/other").status, 404);
}

// Guards against a fleet view that omits a VM, its document version or that version's age.
TEST_F(admin_api_test, FleetShowsVersionsAndAges) {
  membership::member_view member;
  member.name = "entry-02";
  member.document_version = 4;
  member.version_since = time_.Now();
  members_.push_back(member);
  time_.Advance(std::chrono::seconds(2));
  const json fleet = json::parse(Call("GET", "/admin/fleet").body);
  ASSERT_EQ(fleet["vms"].size(), 2U);
  EXPECT_EQ(fleet["vms"][0]["vm"], "entry-01");
  EXPECT_EQ(fleet["vms"][1]["document_version"], 4);
  EXPECT_EQ(fleet["vms"][1]["in_force_for_ms"], 2000);
}

// Guards against reporting an edit as in force everywhere while this VM has not discovered all VMs
// of the document.
TEST_F(admin_api_test, FleetListsVmsOfTheDocumentNotSeenByGossip) {
  membership::member_view member;
  member.name = "entry-02";
  members_.push_back(member);
  replica_.Offer(time_.Now(), document::operating_document::Make(
                                  1, document::SampleSections("lanhai"), nullptr));
  const json fleet = json::parse(Call("GET", "/admin/fleet").body);
  const auto listed = replica_.Current()->contents().vms.size();
  ASSERT_EQ(fleet["vms"].size(), listed);
  EXPECT_EQ(
      std::ranges::count_if(fleet["vms"], [](const json& vm) { return vm["state"] == "unseen"; }),
      static_cast<std::ptrdiff_t>(listed) - 2);
}

}  // namespace
}  // namespace tarragon::net
