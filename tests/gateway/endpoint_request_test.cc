#include "tarragon/gateway/endpoint_request.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include "table_platform.h"

namespace tarragon::gateway {
namespace {

using testing::EndsWith;
using testing::HasSubstr;
using testing::Not;
using testing::StartsWith;

caller_request Request(const std::vector<http::header>& headers, std::string body = {}) {
  caller_request request;
  request.head.method = "POST";
  request.head.target = "/a?b=1";
  for (const http::header& header : headers) {
    request.head.headers.Add(header.name, header.value);
  }
  request.body = std::move(body);
  return request;
}

class endpoint_request_test : public testing::Test {
 protected:
  std::string Serialize(const caller_request& request) const {
    return BuildEndpointRequest(adapter.names(), request, added);
  }
  platform::table_platform adapter;
  added_headers added{.endpoint_id = "e1",
                      .remaining_time = std::chrono::milliseconds(700),
                      .account = "shop",
                      .last_event = {},
                      .kv_copy = {},
                      .backup_address = {}};
};

// Guards against callers that set headers reserved for the gateway.
TEST_F(endpoint_request_test, RemovesReservedHeadersOfTheCaller) {
  const std::string wire =
      Serialize(Request({{"Kv-From", "x/1"}, {"Pin-Ms", "9"}, {"Tenant", "other"}}));
  EXPECT_THAT(wire, StartsWith("POST /a?b=1 HTTP/1.1\r\n"));
  EXPECT_THAT(wire, Not(HasSubstr("Kv-From")));
  EXPECT_THAT(wire, Not(HasSubstr("Pin-Ms")));
  EXPECT_THAT(wire, HasSubstr("Tenant: shop\r\n"));
  EXPECT_THAT(wire, HasSubstr("Deadline-Ms: 700\r\n"));
}

// Guards against an endpoint that waits for a missing body or reads later bytes as the body.
TEST_F(endpoint_request_test, SetsContentLengthOfTheBody) {
  EXPECT_THAT(Serialize(Request({{"Transfer-Encoding", "chunked"}}, "abc")),
              EndsWith("Content-Length: 3\r\n\r\nabc"));
  EXPECT_THAT(Serialize(Request({{"Content-Length", "0"}})), HasSubstr("Content-Length: 0\r\n"));
  EXPECT_THAT(Serialize(Request({})), Not(HasSubstr("Content-Length")));
}

// Guards against an engine that starts a resumed stream over because it was not told the last event
// or the KV cache copy, or that makes no further backups for lack of an address.
TEST_F(endpoint_request_test, ResumedStreamNamesItsCopy) {
  added.last_event = 7;
  added.kv_copy = "10.0.0.1:80/h";
  added.backup_address = "10.0.0.2:80";
  const std::string wire = Serialize(Request({}));
  EXPECT_THAT(wire, HasSubstr("Last-Event-Id: 7\r\n"));
  EXPECT_THAT(wire, HasSubstr("Kv-From: 10.0.0.1:80/h\r\n"));
  EXPECT_THAT(wire, HasSubstr("Kv-Backup: 10.0.0.2:80\r\n"));
}

}  // namespace
}  // namespace tarragon::gateway
