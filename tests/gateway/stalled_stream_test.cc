#include <gtest/gtest.h>

#include <chrono>
#include <optional>
#include <string>
#include <utility>

#include "gateway/request_handler_fixture.h"

namespace tarragon::gateway {
namespace {

class stalled_stream_test : public request_handler_fixture {
 protected:
  /** Allows a third engine for a stream, so that the second one's silence matters. */
  stalled_stream_test() {
    routing::service_config_parts parts;
    parts.version = 2;
    parts.routes = {MakeRoute("/short/", routing::repeat_kind::kStream, "engines")};
    parts.routes[0].resumable = true;
    parts.routes[0].max_attempts = 3;
    parts.services = {{"engines", 100, routing::engine_limits{24, 34000, true, true}}};
    parts.accounts = {{"account", {"key"}, std::nullopt}};
    gateway.config = routing::service_config::Make(std::move(parts));
  }
};

// Guards against a stream that stays at a silent engine because of responses to other requests.
TEST_F(stalled_stream_test, ResponsesToOtherRequestsAreNoProgress) {
  scripted_endpoint breaks(loop, [](auto& c) {
    c.Send(MakeStreamHead() + MakeEvent(1));
    c.Close();
  });
  scripted_endpoint confused(loop, [](auto&) {});
  scripted_endpoint sound(
      loop, [](auto& c) { c.Send(MakeStreamHead() + MakeEvent(2) + std::string(kLastChunk)); });
  ListEndpoint("e1", "engines", breaks.address());
  ListEndpoint("e2", "engines", confused.address());
  ListEndpoint("e3", "engines", sound.address());
  gateway.endpoints.Find("e2")->own_load = {.requests = 3, .unread_tokens = 1000};
  gateway.endpoints.Find("e3")->own_load = {.requests = 6, .unread_tokens = 3000};
  const time_point start = time.Now();
  const auto handler = Start("POST", "/short/1", "b", {{"Deadline-Ms", "2900"}});
  while (!response.done() && time.Now() < start + std::chrono::milliseconds(2500)) {
    RunFor(std::chrono::milliseconds(200), [&] { return response.done(); });
    if (!confused.connections.empty() && !confused.connections[0]->closed_by_peer()) {
      confused.connections[0]->Send(MakeResponse("200 OK", "late", "", "00000000000000ff"));
    }
  }
  EXPECT_TRUE(response.ended);
  EXPECT_EQ(response.body, EventsText(1, 2));
  EXPECT_EQ(confused.connections.size(), 1U);
  RunUntil([&] { return response.done(); });
  gateway.endpoints.Find("e2")->own_load = gateway.endpoints.Find("e3")->own_load = {};
}

// Guards against cutting a sound stream that stalls for a while, as after a preemption, although no
// other engine can go on with it.
TEST_F(stalled_stream_test, SoundStreamIsNotCutWithoutAnAlternative) {
  constexpr std::chrono::milliseconds kStall{1600};
  gateway.SetBudgetOptions({0, 0, std::chrono::seconds(10)});
  scripted_endpoint stalling(loop, [](auto& c) { c.Send(MakeStreamHead() + MakeEvent(1)); });
  scripted_endpoint other(loop, [](auto& c) { c.Send(MakeStreamHead() + MakeEvent(1)); });
  ListEndpoint("e1", "engines", stalling.address());
  ListEndpoint("e2", "engines", other.address());
  gateway.endpoints.Find("e2")->own_load = {.requests = 3, .unread_tokens = 1000};
  const auto handler = Start("POST", "/short/1", "b", {{"Deadline-Ms", "4000"}});
  RunFor(kStall, [&] { return response.done(); });
  EXPECT_FALSE(response.done());
  stalling.connections.at(0)->Send(MakeEvent(2) + std::string(kLastChunk));
  EXPECT_TRUE(RunUntil([&] { return response.done(); }));
  EXPECT_TRUE(response.ended);
  EXPECT_EQ(response.body, EventsText(1, 2));
  EXPECT_TRUE(other.connections.empty());
  gateway.endpoints.Find("e2")->own_load = {};
}

// Guards against a stream that leaves a sound engine for full ones, which decline it, so that it is
// broken off.
TEST_F(stalled_stream_test, StreamStaysAtASilentEngineWhileTheOthersAreFull) {
  scripted_endpoint silent(loop, [](auto& c) { c.Send(MakeStreamHead() + MakeEvent(1)); });
  scripted_endpoint full(loop, [](auto& c) {
    c.Send(MakeResponse("503 Service Unavailable", "", "Not-Executed: 1\r\n"));
  });
  ListEndpoint("e1", "engines", silent.address());
  ListEndpoint("e2", "engines", full.address());
  gateway.endpoints.Find("e2")->own_load = {.requests = 24, .tokens = 34000};
  const auto handler = Start("POST", "/short/1", "b", {{"Deadline-Ms", "4000"}});
  RunFor(std::chrono::milliseconds(1350), [&] { return response.done(); });
  EXPECT_FALSE(response.done());
  EXPECT_TRUE(full.connections.empty());
  silent.connections.at(0)->Send(MakeEvent(2) + std::string(kLastChunk));
  EXPECT_TRUE(RunUntil([&] { return response.done(); }));
  EXPECT_TRUE(response.ended);
  EXPECT_EQ(response.body, EventsText(1, 2));
  gateway.endpoints.Find("e2")->own_load = {};
}

// Guards against a stream that stays for ever at an engine which is silent for longer than a sound
// one.
TEST_F(stalled_stream_test, StreamLeavesAnEngineThatIsNotSound) {
  scripted_endpoint dead(loop, [](auto& c) { c.Send(MakeStreamHead() + MakeEvent(1)); });
  scripted_endpoint full(
      loop, [](auto& c) { c.Send(MakeStreamHead() + MakeEvent(2) + std::string(kLastChunk)); });
  ListEndpoint("e1", "engines", dead.address());
  ListEndpoint("e2", "engines", full.address());
  gateway.endpoints.Find("e2")->own_load = {.requests = 24, .tokens = 34000};
  const auto handler = Start("POST", "/short/1", "b", {{"Deadline-Ms", "4000"}});
  EXPECT_TRUE(RunFor(std::chrono::milliseconds(1800), [&] { return response.done(); }));
  EXPECT_TRUE(response.ended);
  EXPECT_EQ(response.body, EventsText(1, 2));
  gateway.endpoints.Find("e2")->own_load = {};
}

}  // namespace
}  // namespace tarragon::gateway
