#include "net/http_server.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <future>
#include <string>
#include <vector>

#include "net/raw_server.h"

namespace tarragon::net {
namespace {

using ::testing::HasSubstr;

constexpr std::string_view kGet = "GET /x HTTP/1.1\r\nConnection: close\r\n\r\n";

// Guards against a listen queue that drops part of a burst of callers: no connection is accepted
// until all are made, and a connect beyond the queue would wait for ever.
TEST(HttpServer, TakesABurstOfConnections) {
  constexpr int kBurst = 500;
  http_server server({.max_connections = kBurst},
                     [](const httplib::Request&, httplib::Response& response) {
                       response.set_content("whole", "text/plain");
                     });
  ASSERT_TRUE(server.Bind({.ip = "127.0.0.1", .port = 0}));
  std::vector<raw_connection> burst;
  for (int i = 0; i < kBurst; ++i) {
    burst.push_back(raw_connection::Connect(server.port()));
    ASSERT_TRUE(burst.back().Write(kGet));
  }
  server.Start();
  for (const raw_connection& one : burst) {
    EXPECT_THAT(one.ReadAll(), HasSubstr("\r\n\r\nwhole"));
  }
}

// Guards against callers that wait without an answer while all connections are in use, and against
// a refusal that lasts longer than its cause.
TEST(HttpServer, RefusesWhenAllConnectionsAreInUse) {
  std::promise<void> started;
  std::promise<void> release;
  http_server server({.max_connections = 1},
                     [&](const httplib::Request& request, httplib::Response& response) {
                       if (request.path == "/slow") {
                         started.set_value();
                         release.get_future().wait();
                       }
                       response.set_content("whole", "text/plain");
                     });
  ASSERT_TRUE(server.Bind({.ip = "127.0.0.1", .port = 0}));
  server.Start();
  const auto first = raw_connection::Connect(server.port());
  ASSERT_TRUE(first.Write("GET /slow HTTP/1.1\r\nConnection: close\r\n\r\n"));
  started.get_future().wait();
  for (int i = 0; i < 50; ++i) {
    const auto other = raw_connection::Connect(server.port());
    other.Write(kGet);
    const std::string answer = other.ReadAll();
    EXPECT_THAT(answer, HasSubstr("HTTP/1.1 503 "));
    EXPECT_THAT(answer, HasSubstr("Run-Verdict: not-run\r\n"));
    EXPECT_THAT(answer, HasSubstr("Retry-After: 1\r\n"));
    EXPECT_THAT(answer, HasSubstr("too_many_connections"));
  }
  release.set_value();
  EXPECT_THAT(first.ReadAll(), HasSubstr("\r\n\r\nwhole"));
  first.CloseSending();
  std::string answer;
  // The thread is free a moment after its client saw the end of the connection.
  while (answer.find("200 OK") == std::string::npos) {
    const auto next = raw_connection::Connect(server.port());
    next.Write(kGet);
    answer = next.ReadAll();
  }
}

}  // namespace
}  // namespace tarragon::net
