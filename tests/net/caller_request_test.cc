#include "tarragon/net/caller_request.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <string>

#include "tarragon/base/hash.h"
#include "tarragon/net/resumption_ticket.h"

namespace tarragon::net {
namespace {

constexpr std::string_view kKey = "0123456789abcdef0123456789abcdef";
constexpr std::string_view kBody = R"({"model":"drafter","prompt":"two hulls","stream":true})";

document::document_ptr MakeDocument() {
  document::document_contents contents;
  contents.models.emplace_back().name = "drafter";
  contents.accounts.resize(2);
  contents.accounts[0].name = "keelung";
  contents.accounts[0].token_sha256 = Sha256Hex("t1");
  contents.accounts[1].name = "tainan";
  contents.accounts[1].token_sha256 = Sha256Hex("t2");
  contents.classes.emplace_back().name = "lookup";
  contents.classes.emplace_back().name = "report";
  document::service_settings& model = contents.services.emplace_back();
  model.name = model.model = "drafter";
  model.default_class = "lookup";
  document::service_settings& plain = contents.services.emplace_back();
  plain.name = "booking";
  plain.kind = document::service_kind::kPlain;
  plain.default_class = "lookup";
  plain.unrepeatable_paths = {"/bookings/confirm"};
  return document::operating_document::MakeForTesting(1, contents);
}

clock_reading Now() {
  return {.now = time_point(std::chrono::seconds(5)),
          .wall = wall_time_point(std::chrono::hours(1000))};
}

raw_request MakeGenerationRequest(std::string body = std::string(kBody)) {
  raw_request raw;
  raw.method = "POST";
  raw.path = raw.target = "/v1/completions";
  raw.body = std::move(body);
  raw.authorization = "Bearer t1";
  return raw;
}

raw_request MakeServiceCall(std::string method, const std::string& path) {
  raw_request raw;
  raw.method = std::move(method);
  raw.path = raw.target = path;
  raw.authorization = "Bearer t1";
  return raw;
}

request_result<caller_request> ReadRequest(const raw_request& raw) {
  return ReadCallerRequest(raw, *MakeDocument(), {}, kKey, Now());
}

std::string ErrorCodeOf(const raw_request& raw) {
  const auto read = ReadRequest(raw);
  if (read) {
    return "accepted";
  }
  EXPECT_EQ(read.error().verdict, run_verdict::kNotRun);
  EXPECT_GE(read.error().status, 400);
  EXPECT_LT(read.error().status, 500);
  return read.error().code;
}

// Guards against body fields that are not forwarded to the endpoint.
TEST(CallerRequest, ParsesAGenerationRequest) {
  raw_request raw = MakeGenerationRequest(
      R"({"model":"drafter","prompt":"abcdefgh","stream":true,"max_tokens":9,"adapter":"q"})");
  raw.request_class = "report";
  raw.deadline_ms = "250";
  const auto read = ReadRequest(raw);
  ASSERT_TRUE(read);
  const caller_request& request = read.value();
  EXPECT_TRUE(request.stream);
  EXPECT_EQ(request.properties.account, "keelung");
  EXPECT_EQ(request.properties.request_class, "report");
  EXPECT_EQ(request.properties.max_tokens, 9U);
  EXPECT_EQ(request.properties.deadline, Now().now + std::chrono::milliseconds(250));
  EXPECT_FALSE(request.properties.buffered_response);
  EXPECT_EQ(request.call.body,
            R"({"adapter":"q","max_tokens":9,"model":"drafter","prompt":"abcdefgh","stream":true)");
}

// Guards against invalid headers that are accepted or rejected with the wrong error code.
TEST(CallerRequest, RejectsInvalidHeaders) {
  raw_request raw = MakeGenerationRequest();
  raw.authorization.reset();
  EXPECT_EQ(ErrorCodeOf(raw), "invalid_api_key");
  raw.authorization = "Bearer ";
  EXPECT_EQ(ErrorCodeOf(raw), "invalid_api_key");
  raw.authorization = "Basic t1";
  EXPECT_EQ(ErrorCodeOf(raw), "invalid_api_key");
  for (const char* deadline : {"", "0", "-1", "1.5", "5s", " 5", "99999999999", "9e9"}) {
    raw = MakeGenerationRequest();
    raw.deadline_ms = deadline;
    EXPECT_EQ(ErrorCodeOf(raw), "invalid_deadline") << deadline;
  }
  raw = MakeGenerationRequest();
  raw.request_class = "none";
  EXPECT_EQ(ErrorCodeOf(raw), "unknown_class");
  raw = MakeGenerationRequest();
  raw.idempotency_key = "a/b";
  EXPECT_EQ(ErrorCodeOf(raw), "invalid_idempotency_key");
  raw = MakeGenerationRequest();
  raw.last_event_id = "g:1";
  EXPECT_EQ(ErrorCodeOf(raw), "missing_ticket");
}

struct invalid_body {
  const char* body;
  const char* code;
};

// Guards against malformed bodies and fields of the wrong type that are accepted.
TEST(CallerRequest, RejectsInvalidBodies) {
  for (const invalid_body& invalid : {
           invalid_body{"", "invalid_json"},
           invalid_body{"{", "invalid_json"},
           invalid_body{"[1]", "invalid_json"},
           invalid_body{"{}", "invalid_model"},
           invalid_body{R"({"model":1,"prompt":"a"})", "invalid_model"},
           invalid_body{R"({"model":"none","prompt":"a"})", "model_not_found"},
           invalid_body{R"({"model":"drafter"})", "invalid_prompt"},
           invalid_body{R"({"model":"drafter","prompt":["a"]})", "invalid_prompt"},
           invalid_body{R"({"model":"drafter","prompt":""})", "invalid_prompt"},
           invalid_body{R"({"model":"drafter","prompt":"a","stream":"yes"})", "invalid_stream"},
           invalid_body{R"({"model":"drafter","prompt":"a","max_tokens":0})", "invalid_max_tokens"},
           invalid_body{R"({"model":"drafter","prompt":"a","max_tokens":-1})",
                        "invalid_max_tokens"},
           invalid_body{R"({"model":"drafter","prompt":"a","max_tokens":1.5})",
                        "invalid_max_tokens"},
           invalid_body{R"({"model":"drafter","prompt":"a","max_tokens":1e99})",
                        "invalid_max_tokens"},
           invalid_body{R"({"model":"drafter","prompt":"a","adapter":7})", "invalid_adapter"},
       }) {
    EXPECT_EQ(ErrorCodeOf(MakeGenerationRequest(invalid.body)), invalid.code) << invalid.body;
  }
  raw_request chat = MakeGenerationRequest(R"({"model":"drafter","messages":[{"role":"user"}]})");
  chat.path = "/v1/chat/completions";
  EXPECT_EQ(ErrorCodeOf(chat), "invalid_messages");
}

// Guards against executing an unrepeatable call twice, because it has no idempotency key or because
// the service normalizes its path differently from the check.
TEST(CallerRequest, RecognizesUnrepeatableCalls) {
  EXPECT_EQ(ErrorCodeOf(MakeServiceCall("POST", "/services/booking/bookings/confirm")),
            "missing_idempotency_key");
  EXPECT_EQ(ErrorCodeOf(MakeServiceCall("POST", "/services/booking//bookings/confirm")),
            "invalid_path");
  EXPECT_EQ(ErrorCodeOf(MakeServiceCall("POST", "/services/booking/a/../bookings/confirm")),
            "invalid_path");
  EXPECT_EQ(ErrorCodeOf(MakeServiceCall("POST", "/services/booking/./bookings/confirm")),
            "invalid_path");
  raw_request encoded = MakeServiceCall("POST", "/services/booking/bookings/confirm");
  encoded.target = "/services/booking/bookings%2Fconfirm";
  EXPECT_EQ(ErrorCodeOf(encoded), "missing_idempotency_key");
  raw_request hidden_name = MakeServiceCall("POST", "/services/booking/bookings/confirm");
  hidden_name.target = "/services/b%6Foking/bookings/confirm";
  EXPECT_EQ(ErrorCodeOf(hidden_name), "invalid_path");
  EXPECT_TRUE(ReadRequest(MakeServiceCall("GET", "/services/booking/bookings/confirm"))
                  .value()
                  .properties.repeatable);
  raw_request keyed = MakeServiceCall("POST", "/services/booking/bookings/confirm");
  keyed.idempotency_key = "k1";
  EXPECT_FALSE(ReadRequest(keyed).value().properties.repeatable);
  EXPECT_EQ(ErrorCodeOf(MakeServiceCall("GET", "/services/drafter/x")), "service_not_found");
}

// Guards against a query string that is not forwarded to the service.
TEST(CallerRequest, KeepsTheQuery) {
  raw_request raw = MakeServiceCall("GET", "/services/booking/slots");
  raw.target = "/services/booking/slots?day=1&x=%20";
  EXPECT_EQ(ReadRequest(raw).value().call.target, "/slots?day=1&x=%20");
}

std::string MakeTicket(const caller_request& request) {
  return resumption_ticket({.request = {1},
                            .account = request.properties.account,
                            .endpoint = "e1",
                            .generation = "g1",
                            .request_class = request.properties.request_class,
                            .request_fingerprint = request.properties.request_fingerprint,
                            .issued = Now().wall})
      .Sign(kKey);
}

// Guards against a caller that resumes the generation of another account or request.
TEST(CallerRequest, BindsATicketToItsRequest) {
  raw_request raw = MakeGenerationRequest();
  raw.resumption_ticket = MakeTicket(ReadRequest(raw).value());
  raw.last_event_id = "g1:41";
  const auto resumed = ReadRequest(raw);
  ASSERT_TRUE(resumed);
  EXPECT_EQ(resumed.value().resume->next_index, 42U);
  EXPECT_EQ(resumed.value().resume->endpoint, "e1");

  raw_request other = raw;
  other.authorization = "Bearer t2";
  EXPECT_EQ(ErrorCodeOf(other), "invalid_ticket");
  other = raw;
  other.request_class = "report";
  EXPECT_EQ(ErrorCodeOf(other), "invalid_ticket");
  other = raw;
  other.body = R"({"model":"drafter","prompt":"three hulls","stream":true})";
  EXPECT_EQ(ErrorCodeOf(other), "invalid_ticket");
  for (const char* id : {"g2:1", "g1", "g1:", ":1", "g1:-1", "g1:x", "g1:4294967295"}) {
    other = raw;
    other.last_event_id = id;
    EXPECT_EQ(ErrorCodeOf(other), "invalid_event_id") << id;
  }
}

// Guards against crashes and non-4xx errors on bodies that differ from a valid one in a few bytes.
RC_GTEST_PROP(CallerRequest, HandlesCorruptedBodies, ()) {
  std::string body(kBody);
  const auto changes = *rc::gen::container<std::vector<std::pair<std::size_t, char>>>(
      rc::gen::pair(rc::gen::inRange<std::size_t>(0, kBody.size()), rc::gen::arbitrary<char>()));
  for (const auto& [offset, value] : changes) {
    body[offset] = value;
  }
  const auto read = ReadRequest(MakeGenerationRequest(body));
  if (!read) {
    RC_ASSERT(read.error().status >= 400);
    RC_ASSERT(read.error().status < 500);
  }
}

}  // namespace
}  // namespace tarragon::net
