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

// Guards against unresponsive endpoints that delay the load reports of others. The unresponsive
// ones keep their connections open until the healthy one has reported that it is leaving.
TEST(LoadPoller, UnresponsiveEndpointsDoNotDelayOthers) {
  std::atomic<int> unresponsive_polls{0};
  const auto never_respond = [&](const std::string&, raw_connection& c) {
    ++unresponsive_polls;
    c.WaitForClose();
  };
  const raw_server unresponsive(never_respond);
  const raw_server unresponsive_2(never_respond);
  const raw_server healthy([&](const std::string&, raw_connection& c) {
    c.Write(
        unresponsive_polls >= 2
            ? "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 16\r\n\r\n{\"leaving\":true}"
            : "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\n{}");
  });
  document::document_contents contents;
  for (const std::string& address :
       {unresponsive.address(), unresponsive_2.address(), healthy.address()}) {
    document::endpoint_settings& endpoint = contents.endpoints.emplace_back();
    endpoint.name = endpoint.address = address;
  }
  const real_clock time;
  metrics counters;
  document::document_replica documents;
  documents.Offer(time.Now(), document::operating_document::MakeForTesting(1, contents));
  std::atomic<bool> leaving{false};
  load_poller_options options;
  // Longer than the test waits, so the test fails if a poll waits for an unresponsive endpoint.
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

// Guards against a poll rate that does not reach 15 endpoints within 3 s, including one timeout.
TEST(LoadPoller, PollsEveryEndpointInTime) {
  const load_poller_options options;
  EXPECT_LE(load_poller::PollInterval(options, 15) * 15 + options.timeout, std::chrono::seconds(3));
}

}  // namespace
}  // namespace tarragon::net
