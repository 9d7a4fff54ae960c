#include <fmt/format.h>
#include <gtest/gtest.h>

#include <string>

#include "gateway/request_handler_fixture.h"

namespace tarragon::gateway {
namespace {

/** The parameter is an answer of an endpoint in trouble. */
class odd_head_test : public request_handler_fixture,
                      public testing::WithParamInterface<std::string> {
 protected:
  odd_head_test() { ListEndpoint("e1", "calls", odd.address()); }

  scripted_endpoint odd{loop, [](auto& c) {
                          c.Send(GetParam());
                          c.EndOutput();
                        }};
};

// Guards against an answer that is none and reaches the caller, with its odd line or another body.
TEST_P(odd_head_test, IsNotPassedOn) {
  const auto handler = Start("POST", "/unsafe/1", "b");
  ASSERT_TRUE(RunUntil([&] { return response.done(); }));
  EXPECT_EQ(response.status, 502);
  EXPECT_FALSE(response.headers.Find("Response-Signature").has_value());
}

// Guards against a call that is not served because one endpoint is in trouble.
TEST_P(odd_head_test, RepeatableCallIsServedElsewhere) {
  scripted_endpoint sound(loop, [](auto& c) { c.Send(MakeResponse("200 OK", "fine")); });
  ListEndpoint("e2", "calls", sound.address());
  gateway.endpoints.Find("e2")->own_load = {.requests = 3};
  const auto handler = Start("GET", "/safe/1");
  ASSERT_TRUE(RunUntil([&] { return response.done(); }));
  EXPECT_EQ(response.status, 200);
  EXPECT_EQ(response.body, "fine");
}

INSTANTIATE_TEST_SUITE_P(
    Answers,
    odd_head_test,
    testing::Values(
        MakeResponse("000 OK", "part"),
        MakeResponse("999 OK", "part"),
        MakeResponse("200 OK", "part", "Response-Signature: s\r\nX Y: 1\r\n"),
        MakeResponse("200 OK", "part", "Response-Signature: s\r\nX : 1\r\n"),
        MakeResponse("200 OK", "part", "Response-Signature: s\r\nX\x01: 1\r\n"),
        MakeResponse("200 OK", "part", "Response-Signature: s\r\nX: \x01\r\n"),
        MakeResponse("200 OK", "part", "Response-Signature: s\r\nContent-Length: 2\r\n"),
        MakeResponse("200 OK", "part", "Response-Signature: s\r\nAttempt-Id: other\r\n")));

}  // namespace
}  // namespace tarragon::gateway
