#ifndef TARRAGON_TESTS_GATEWAY_GATEWAY_FIXTURE_H_
#define TARRAGON_TESTS_GATEWAY_GATEWAY_FIXTURE_H_

#include <fcntl.h>
#include <gtest/gtest.h>
#include <unistd.h>

#include <asio/io_context.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <utility>

#include "gateway/scripted_endpoint.h"
#include "table_platform.h"
#include "tarragon/base/metrics.h"
#include "tarragon/base/real_clock.h"
#include "tarragon/gateway/event_log.h"
#include "tarragon/gateway/gateway_state.h"

namespace tarragon::gateway {

/** Shared state of a gateway whose configuration has a route for each kind of request. */
class gateway_fixture : public testing::Test {
 protected:
  gateway_fixture() {
    gateway.own_vm = "vm";
    gateway.own_failure_domain = "d";
    gateway.daemons = 1;
    gateway.SetBudgetOptions({0.2, 50, std::chrono::seconds(10)});
    gateway.config = MakeConfig(1);
  }
  ~gateway_fixture() override { ::close(null_descriptor); }

  static routing::route MakeRoute(std::string prefix,
                                  routing::repeat_kind kind,
                                  std::string service) {
    routing::route route;
    route.name = prefix;
    route.host = "h";
    route.prefix = std::move(prefix);
    route.kind = kind;
    route.timeout = std::chrono::milliseconds(3000);
    route.latency_objective = std::chrono::milliseconds(300);
    route.max_attempts = 2;
    route.services = {{std::move(service), 1}};
    return route;
  }

  static routing::service_config_ptr MakeConfig(std::uint64_t version) {
    routing::service_config_parts parts;
    parts.version = version;
    parts.routes = {MakeRoute("/safe/", routing::repeat_kind::kSafe, "calls"),
                    MakeRoute("/unsafe/", routing::repeat_kind::kUnsafe, "calls"),
                    MakeRoute("/report/", routing::repeat_kind::kStream, "engines"),
                    MakeRoute("/short/", routing::repeat_kind::kStream, "engines"),
                    MakeRoute("/paced/", routing::repeat_kind::kStream, "engines")};
    parts.routes[2].max_attempts = 1;
    parts.routes[3].resumable = true;
    parts.routes[4].max_attempts = 1;
    parts.routes[4].pause_objective = std::chrono::milliseconds(180);
    parts.services = {{"calls", 100, std::nullopt},
                      {"engines", 100, routing::engine_limits{24, 34000, true, true}}};
    parts.accounts = {{"account", {"key"}, std::nullopt}};
    return routing::service_config::Make(std::move(parts));
  }

  void ListEndpoint(const std::string& id,
                    const std::string& service,
                    const std::string& address,
                    bool leaving = false) {
    routing::endpoint_entry entry;
    entry.id = id;
    entry.service = service;
    entry.address = address;
    entry.failure_domain = "d";
    entry.slots = 6;
    entry.leaving = leaving;
    gateway.endpoints.Put(time.Now(), ++row_version, entry);
  }

  /** Runs the loop until `done` returns true. @return false after five seconds. */
  bool RunUntil(const std::function<bool()>& done) {
    const auto limit = std::chrono::steady_clock::now() + std::chrono::seconds(5);
    while (!done() && std::chrono::steady_clock::now() < limit) {
      loop.restart();
      loop.run_for(std::chrono::milliseconds(5));
    }
    return done();
  }

  /** Runs the loop for `time` or until `done` returns true. @return whether it did. */
  bool RunFor(std::chrono::milliseconds time, const std::function<bool()>& done) {
    const auto limit = std::chrono::steady_clock::now() + time;
    return RunUntil([&] { return done() || std::chrono::steady_clock::now() >= limit; }) && done();
  }

  asio::io_context loop;
  real_clock time;
  platform::table_platform adapter;
  int null_descriptor = ::open("/dev/null", O_WRONLY);
  event_log log{loop, time, null_descriptor};
  metrics counters;
  gateway_state gateway{loop, time, adapter, log, counters};
  std::uint64_t row_version = 0;
};

}  // namespace tarragon::gateway

#endif  // TARRAGON_TESTS_GATEWAY_GATEWAY_FIXTURE_H_
