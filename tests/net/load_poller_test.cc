#include "tarragon/net/load_poller.h"

#include <gtest/gtest.h>

#include <atomic>
#include <string>
#include <thread>

#include "net/raw_server.h"
#include "tarragon/base/metrics.h"
#include "tarragon/base/real_clock.h"

namespace tarragon::net {
namespace {

// Guards against frozen endpoints that delay the reports of the others: the sockets of the frozen
// ones stay open until the healthy one has been seen to leave.
TEST(LoadPoller, FrozenEndpointsDelayNoOther) {
  std::atomic<int> frozen_polls{0};
  const auto freeze = [&](const std::string&, raw_connection& c) {
    ++frozen_polls;
    c.WaitForClose();
  };
  const raw_server frozen(freeze);
  const raw_server frozen_too(freeze);
  const raw_server healthy([&](const std::string&, raw_connection& c) {
    c.Write(
        frozen_polls >= 2
            ? "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 16\r\n\r\n{\"leaving\":true}"
            : "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\n{}");
  });
  document::document_contents contents;
  for (const std::string& address : {frozen.address(), frozen_too.address(), healthy.address()}) {
    document::endpoint_settings& endpoint = contents.endpoints.emplace_back();
    endpoint.name = endpoint.address = address;
  }
  const real_clock time;
  metrics counters;
  document::document_replica documents;
  documents.Offer(time.Now(), document::operating_document::MakeForTesting(1, contents));
  std::atomic<bool> leaving{false};
  load_poller_options options;
  // Longer than the test waits, so that a poll that waits for a frozen endpoint fails it.
  options.timeout = std::chrono::seconds(60);
  load_poller poller(
      options, documents,
      [&](decision::load_reported&& report) { leaving = leaving || report.leaving; }, time,
      counters);
  poller.Start();
  for (int i = 0; i < 2000 && !leaving; ++i) {
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
  }
  EXPECT_TRUE(leaving);
}

// Guards against a pace at which 15 endpoints are not all read within 3 s, one timeout included.
TEST(LoadPoller, PaceCoversTheFleetInTime) {
  const load_poller_options options;
  EXPECT_LE(load_poller::Pause(options, 15) * 15 + options.timeout, std::chrono::seconds(3));
}

}  // namespace
}  // namespace tarragon::net
