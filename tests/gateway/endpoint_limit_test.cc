#include <fmt/format.h>
#include <gtest/gtest.h>

#include <memory>
#include <string>
#include <vector>

#include "gateway/request_handler_fixture.h"

namespace tarragon::gateway {
namespace {

class endpoint_limit_test : public request_handler_fixture {
 protected:
  static scripted_endpoint::script AnswerWithLimit(const std::string& limit) {
    return [limit](scripted_connection& connection) {
      connection.Send(MakeResponse("200 OK", "fine",
                                   "Response-Signature: s\r\nServer-Limit: " + limit + "\r\n"));
    };
  }

  void Read() {
    recording_response_writer answer;
    const auto handler = Start("GET", "/safe/1", {}, {}, &answer);
    ASSERT_TRUE(RunUntil([&] { return answer.done(); }));
    statuses.push_back(answer.status);
  }

  std::vector<int> statuses;
};

// Guards against sending an endpoint in need as many requests as one that is well.
TEST_F(endpoint_limit_test, EndpointGetsNoMoreThanTheRateItNames) {
  scripted_endpoint limited(loop, AnswerWithLimit("0.5"));
  scripted_endpoint other(loop, [](auto& c) { c.Send(MakeResponse("200 OK", "fine")); });
  ListEndpoint("e1", "calls", limited.address());
  ListEndpoint("e2", "calls", other.address());
  for (int i = 0; i < 60; ++i) {
    Read();
  }
  // One and a half times 0.5 a second for 4 s, and 5 more.
  EXPECT_LE(limited.connections.size(), 8U);
  EXPECT_EQ(statuses, std::vector<int>(60, 200));
}

}  // namespace
}  // namespace tarragon::gateway
