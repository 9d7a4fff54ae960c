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

// Guards against a short listen backlog that drops connections when many arrive at once. The server
// accepts none until all are made, so a connect beyond the backlog would block forever.
TEST(HttpServer, AcceptsABurstOfConnections) {
  constexpr int kConnections = 500;
  http_server server({.max_connections = kConnections},
                     [](const httplib::Request&, httplib::Response& response) {
                       response.set_content("whole", "text/plain");
                     });
  ASSERT_TRUE(server.Bind({.ip = "127.0.0.1", .port = 0}));
  std::vector<raw_connection> connections;
  for (int i = 0; i < kConnections; ++i) {
    connections.push_back(raw_connection::Connect(server.port()));
    ASSERT_TRUE(connections.back().Write(kGet));
  }
  server.Start();
  for (const raw_connection& connection : connections) {
    EXPECT_THAT(connection.ReadAll(), HasSubstr("\r\n\r\nwhole"));
  }
}

// Guards against callers that get no response while all connections are in use, and against a
// server that keeps refusing connections after one is free.
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
  // The thread becomes free shortly after its client sees the connection close.
  while (answer.find("200 OK") == std::string::npos) {
    const auto next = raw_connection::Connect(server.port());
    next.Write(kGet);
    answer = next.ReadAll();
  }
}

}  // namespace
}  // namespace tarragon::net
