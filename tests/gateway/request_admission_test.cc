#include "tarragon/gateway/request_admission.h"

#include <gtest/gtest.h>

#include <string>
#include <string_view>
#include <utility>
#include <variant>

#include "gateway/gateway_fixture.h"

namespace tarragon::gateway {
namespace {

class request_admission_test : public gateway_fixture {
 protected:
  caller_request Request(std::string target, std::string_view deadline) {
    caller_request request;
    request.head.method = "POST";
    request.head.target = std::move(target);
    request.head.headers.Add("Host", "h:8080");
    request.head.headers.Add("Authorization", "Token key");
    request.head.headers.Add("Deadline-Ms", deadline);
    request.head.headers.Add("Token-Usage", "3000,2000");
    request.head.headers.Add("Length-Hint", "500");
    request.received = time.Now();
    return request;
  }
};

// Guards against a deadline later than the caller's or the route's.
TEST_F(request_admission_test, UsesTheShorterOfDeadlineAndTimeout) {
  const caller_request with_long_deadline = Request("/safe/1", "60000");
  EXPECT_EQ(std::get<admitted_request>(AdmitRequest(gateway, with_long_deadline, "1")).deadline,
            with_long_deadline.received + std::chrono::milliseconds(3000));
  const caller_request with_short_deadline = Request("/safe/1", "500");
  EXPECT_EQ(std::get<admitted_request>(AdmitRequest(gateway, with_short_deadline, "1")).deadline,
            with_short_deadline.received + std::chrono::milliseconds(500));
}

// Guards against KV cache that runs out when outputs exceed their estimates a little, and against
// capacity that stays unused because each request reserves its maximum.
TEST_F(request_admission_test, ReservesAboveTheEstimateAndBelowTheMaximum) {
  const auto decided = AdmitRequest(gateway, Request("/report/1", "60000"), "1");
  const routing::work_size size = std::get<admitted_request>(decided).size;
  EXPECT_EQ(size.prompt_tokens, 3000U);
  EXPECT_EQ(size.output_tokens, 650U);
  EXPECT_EQ(size.max_output_tokens, 2000U);
}

// Guards against refusing a request because of crashes caused by another account or body.
TEST_F(request_admission_test, ContentDependsOnTargetAccountAndBody) {
  const auto content_of = [&](const caller_request& request) {
    return std::get<admitted_request>(AdmitRequest(gateway, request, "1")).traits.at(0).id;
  };
  const caller_request first = Request("/safe/1", "500");
  caller_request other_body = first;
  other_body.body = "x";
  EXPECT_EQ(content_of(first), content_of(Request("/safe/1", "900")));
  EXPECT_NE(content_of(first), content_of(other_body));
  EXPECT_NE(content_of(first), content_of(Request("/safe/2", "500")));
}

// Guards against a stream on a split route that goes on at another service than the one that began
// it.
TEST_F(request_admission_test, TakeUpGoesToTheServiceOfTheFirstAttempt) {
  routing::service_config_parts parts;
  parts.routes = {MakeRoute("/split/", routing::repeat_kind::kStream, "engines")};
  parts.routes.front().services.push_back({"calls", 1});
  gateway.config = routing::service_config::Make(std::move(parts));
  for (int first = 0; first < 20; ++first) {
    const caller_request begun = Request("/split/1", "500");
    caller_request taken_up = begun;
    taken_up.head.headers.Add("Last-Event-Id", "3");
    taken_up.head.headers.Add("Resumes", std::to_string(first));
    EXPECT_EQ(std::get<admitted_request>(AdmitRequest(gateway, begun, std::to_string(first)))
                  .service_name,
              std::get<admitted_request>(AdmitRequest(gateway, taken_up, "other")).service_name);
  }
}

// Guards against callers that give up or retry at once because a draining gateway does not say when
// to try again.
TEST_F(request_admission_test, RefusalsHaveARetryAfter) {
  gateway.draining = true;
  gateway.exit_at = time.Now() + std::chrono::seconds(1);
  const auto decided = AdmitRequest(gateway, Request("/unsafe/1", "1500"), "1");
  ASSERT_TRUE(std::holds_alternative<rejected_request>(decided));
  EXPECT_EQ(std::get<rejected_request>(decided).status, 503);
  EXPECT_TRUE(std::get<rejected_request>(decided).retry_after);
}

// Guards against refusing a call whose own deadline is before the exit, because its route allows
// more time.
TEST_F(request_admission_test, DrainingGatewayGoesByTheCallersDeadline) {
  gateway.draining = true;
  gateway.exit_at = time.Now() + std::chrono::seconds(1);
  for (const char* const target : {"/unsafe/1", "/safe/1", "/report/1"}) {
    EXPECT_TRUE(std::holds_alternative<admitted_request>(
        AdmitRequest(gateway, Request(target, "900"), "1")))
        << target;
    EXPECT_TRUE(std::holds_alternative<rejected_request>(
        AdmitRequest(gateway, Request(target, "1100"), "1")))
        << target;
  }
}

}  // namespace
}  // namespace tarragon::gateway
