#include "fakes/common/stand_in_server.h"

#include <gtest/gtest.h>

#include <chrono>
#include <memory>
#include <thread>

namespace tarragon::fakes {
namespace {

// Server on a free port of the loopback interface.
class stand_in_server_test : public testing::Test {
 protected:
  stand_in_server_test() : server_(duration::zero()) {
    server_.Get("/echo", [](const httplib::Request&, httplib::Response& response) {
      SetJsonResponse(response, 200, {{"ok", true}});
    });
    server_.Get("/drop", [this](const httplib::Request&, httplib::Response& response) {
      ++dropped_;
      SetJsonResponse(response, 200, {{"ok", true}});
      stand_in_server::DropCurrentConnection();
    });
    server_.Get("/silence", [this](const httplib::Request&, httplib::Response& response) {
      server_.SilenceOpenConnections();
      SetJsonResponse(response, 200, {{"ok", true}});
    });
    port_ = server_.bind_to_any_port("127.0.0.1");
    thread_ = std::thread([this] { server_.listen_after_bind(); });
    while (!server_.is_running()) {
      std::this_thread::yield();
    }
  }

  ~stand_in_server_test() override {
    server_.stop();
    thread_.join();
  }

  std::unique_ptr<httplib::Client> Connect() const {
    auto client = std::make_unique<httplib::Client>("127.0.0.1", port_);
    client->set_keep_alive(true);
    return client;
  }

  stand_in_server server_;
  int port_ = 0;
  std::atomic<int> dropped_ = 0;
  std::thread thread_;
};

// Guards against a lost response whose status still reaches the client.
TEST_F(stand_in_server_test, DroppedConnectionCarriesNoResponse) {
  const auto client = Connect();
  const httplib::Result response = client->Get("/drop");
  EXPECT_FALSE(response);
  EXPECT_EQ(response.error(), httplib::Error::Read);
  EXPECT_GE(dropped_, 1);
}

// Guards against a silence fault that closes connections or affects later ones.
TEST_F(stand_in_server_test, SilenceAffectsOpenConnectionsOnly) {
  const auto open = Connect();
  ASSERT_TRUE(open->Get("/echo"));
  ASSERT_TRUE(Connect()->Get("/silence"));
  open->set_read_timeout(std::chrono::milliseconds(200));
  EXPECT_FALSE(open->Get("/echo"));
  EXPECT_TRUE(Connect()->Get("/echo"));
}

}  // namespace
}  // namespace tarragon::fakes
