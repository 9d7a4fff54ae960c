#include "tarragon/store/http_platform_store.h"

#include <gtest/gtest.h>

#include <string>
#include <thread>

#include <httplib.h>

namespace tarragon::store {
namespace {

/** Runs an HTTP server on loopback; each test installs its handlers. */
class http_store_test : public testing::Test {
 protected:
  void SetUp() override {
    port_ = server_.bind_to_any_port("127.0.0.1");
    ASSERT_GT(port_, 0);
  }
  void Start() {
    thread_ = std::jthread([this] { server_.listen_after_bind(); });
    while (!server_.is_running()) {
      std::this_thread::yield();
    }
    store_ = http_platform_store::Make({.host = "127.0.0.1",
                                        .port = port_,
                                        .connect_timeout = std::chrono::milliseconds(500),
                                        .io_timeout = std::chrono::milliseconds(100)});
  }
  void TearDown() override { server_.stop(); }

  httplib::Server server_;
  int port_ = 0;
  std::unique_ptr<http_platform_store> store_;
  std::jthread thread_;
};

// Guards against keys altered by URL encoding: a row key may contain a caller's idempotency key.
TEST_F(http_store_test, KeysAreEncoded) {
  std::string seen;
  server_.Get(R"(/table/(.+))",
              [&seen](const httplib::Request& request, httplib::Response& response) {
                seen = request.matches[1];
                response.set_content(R"({"key":"k","version":3,"value":"v"})", "application/json");
              });
  Start();
  const auto found = store_->Read("claims/a b/k?x=1&y#z%2F+");
  ASSERT_TRUE(found.has_value());
  EXPECT_EQ(seen, "claims/a b/k?x=1&y#z%2F+");
  EXPECT_EQ(found.value().version, 3U);
}

// Guards against reporting a write as not applied although the platform may have applied it.
TEST_F(http_store_test, WriteWithoutResponseHasUnknownOutcome) {
  server_.Post("/table/transactions", [](const httplib::Request&, httplib::Response& response) {
    std::this_thread::sleep_for(std::chrono::milliseconds(400));
    response.set_content(R"({"versions":[1]})", "application/json");
  });
  server_.Get(R"(/table/(.+))", [](const httplib::Request&, httplib::Response& response) {
    std::this_thread::sleep_for(std::chrono::milliseconds(400));
    response.status = 200;
  });
  server_.Put(R"(/objects/(.+))",
              [](const httplib::Request&, httplib::Response& response) { response.status = 503; });
  Start();
  const auto committed = store_->Commit({.conditions = {}, .writes = {{"k", "v"}}});
  ASSERT_TRUE(committed.has_error());
  EXPECT_EQ(committed.error(), store_error::kUnknownOutcome);
  EXPECT_EQ(store_->Read("k").error(), store_error::kUnavailable);
  EXPECT_EQ(store_->PutObject("k", "v").error(), store_error::kUnknownOutcome);
}

// Guards against reporting an unknown outcome if the platform responded or was not reached.
TEST_F(http_store_test, ErrorResponsesHaveKnownOutcome) {
  int status = 0;
  server_.Post("/table/transactions", [&](const httplib::Request&, httplib::Response& response) {
    response.status = status;
  });
  Start();
  const transaction writes{.conditions = {{"k", 0}}, .writes = {{"k", "v"}}};
  status = 409;
  EXPECT_EQ(store_->Commit(writes).error(), store_error::kConflict);
  status = 429;
  EXPECT_EQ(store_->Commit(writes).error(), store_error::kRateLimited);
  status = 200;
  EXPECT_EQ(store_->Commit(writes).error(), store_error::kBadAnswer);
  server_.stop();
  thread_.join();
  EXPECT_EQ(store_->Commit(writes).error(), store_error::kUnavailable);
}

// Guards against a process that starts with an invalid platform address.
TEST(HttpPlatformStore, MakeRefusesBadAddress) {
  EXPECT_EQ(http_platform_store::Make({.host = "", .port = 80}), nullptr);
  EXPECT_EQ(http_platform_store::Make({.host = "127.0.0.1", .port = 0}), nullptr);
  EXPECT_EQ(http_platform_store::Make({.host = "127.0.0.1", .port = 65536}), nullptr);
}

}  // namespace
}  // namespace tarragon::store
