#include "tarragon/gateway/store_connection.h"

#include <gtest/gtest.h>

#include <asio/steady_timer.hpp>
#include <chrono>
#include <optional>
#include <thread>
#include <utility>

#include "gateway/gateway_fixture.h"

namespace tarragon::gateway {
namespace {

class store_connection_test : public gateway_fixture {};

// Guards against ending a call by the timeout of the call before it: after a pause of the process,
// that timeout may have been queued before its cancellation.
TEST_F(store_connection_test, TimeoutOfACancelledCallDoesNotEndTheNextOne) {
  constexpr std::chrono::milliseconds kTimeout{5};
  scripted_endpoint store(loop, [](auto& c) {
    if (c.received().starts_with("GET /second")) {
      c.Send("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
    }
  });
  store_connection connection(loop, adapter, store.address());
  std::optional<store_call_result> result;
  asio::steady_timer earlier(loop, kTimeout - std::chrono::milliseconds(1));
  earlier.async_wait([&](const asio::error_code&) {
    connection.Cancel();
    connection.Call({"GET", "/second", {}}, std::chrono::seconds(4),
                    [&](store_call_result received) { result = std::move(received); });
  });
  connection.Call({"GET", "/first", {}}, kTimeout, [](const store_call_result&) {});
  std::this_thread::sleep_for(4 * kTimeout);
  ASSERT_TRUE(RunUntil([&] { return result.has_value(); }));
  ASSERT_TRUE(*result);
  EXPECT_EQ(result->value().body, "ok");
}

}  // namespace
}  // namespace tarragon::gateway
