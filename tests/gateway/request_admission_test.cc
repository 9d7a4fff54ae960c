#include "tarragon/gateway/request_admission.h"

#include <gtest/gtest.h>

#include <string>
#include <utility>
#include <variant>

#include "gateway/gateway_fixture.h"

namespace tarragon::gateway {
namespace {

class request_admission_test : public gateway_fixture {
 protected:
  caller_request Request(std::string target, std::string deadline) {
    caller_request request;
    request.head.method = "POST";
    request.head.target = std::move(target);
    request.head.headers.Add("Host", "h:8080");
    request.head.headers.Add("Authorization", "Token key");
    request.head.headers.Add("Deadline-Ms", std::move(deadline));
    request.head.headers.Add("Token-Usage", "3000,2000");
    request.head.headers.Add("Length-Hint", "500");
    request.received = time.Now();
    return request;
  }
};

// Guards against a deadline that is longer than the caller's or than the route's.
TEST_F(request_admission_test, TheShorterOfDeadlineAndTimeoutHolds) {
  const caller_request patient = Request("/safe/1", "60000");
  EXPECT_EQ(std::get<admitted_request>(Admit(gateway, patient, "1")).deadline,
            patient.received + std::chrono::milliseconds(3000));
  const caller_request hasty = Request("/safe/1", "500");
  EXPECT_EQ(std::get<admitted_request>(Admit(gateway, hasty, "1")).deadline,
            hasty.received + std::chrono::milliseconds(500));
}

TEST_F(request_admission_test, ReservesAboveTheEstimateAndBelowTheMaximum) {
  const auto decided = Admit(gateway, Request("/report/1", "60000"), "1");
  const routing::work_size size = std::get<admitted_request>(decided).size;
  EXPECT_EQ(size.prompt_tokens, 3000U);
  EXPECT_EQ(size.output_tokens, 650U);
  EXPECT_EQ(size.max_output_tokens, 2000U);
}

// Guards against another account's or another body's crashes being held against a request.
TEST_F(request_admission_test, ContentDependsOnTargetAccountAndBody) {
  const auto content_of = [&](const caller_request& request) {
    return std::get<admitted_request>(Admit(gateway, request, "1")).content;
  };
  const caller_request first = Request("/safe/1", "500");
  caller_request other_body = first;
  other_body.body = "x";
  EXPECT_EQ(content_of(first), content_of(Request("/safe/1", "900")));
  EXPECT_NE(content_of(first), content_of(other_body));
  EXPECT_NE(content_of(first), content_of(Request("/safe/2", "500")));
}

TEST_F(request_admission_test, RefusalsSayWhenToComeBack) {
  gateway.draining = true;
  gateway.exit_at = time.Now() + std::chrono::seconds(1);
  const auto decided = Admit(gateway, Request("/unsafe/1", "500"), "1");
  ASSERT_TRUE(std::holds_alternative<rejected_request>(decided));
  EXPECT_EQ(std::get<rejected_request>(decided).status, 503);
  EXPECT_TRUE(std::get<rejected_request>(decided).retry_after);
}

}  // namespace
}  // namespace tarragon::gateway
