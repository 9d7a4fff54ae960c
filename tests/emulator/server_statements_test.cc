#include <fmt/format.h>
#include <gtest/gtest.h>

#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "emulator/fleet_emulator.h"

namespace tarragon::emulator {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/** Bounds of the platform's rules. */
constexpr milliseconds kDrainTime{2000};
constexpr milliseconds kPauseReaction{500};
constexpr int kMaxRequestsInPause = 2;

std::vector<std::uint64_t> Seeds() {
  if (const char* seed = std::getenv("TARRAGON_FLEET_SEED")) {
    return {std::stoull(seed)};
  }
  return {1, 2};
}

/** Endpoints that say in their answers that they leave, or that they want no requests for a time.
 */
class server_statements_test : public testing::TestWithParam<std::uint64_t> {
 protected:
  static constexpr milliseconds kRoundTime{20};

  struct sent_request {
    std::shared_ptr<caller> request;
    std::size_t gateway = 0;
    time_point sent_at;
  };

  static fleet_options Options() {
    fleet_options options;
    options.plain_endpoints = 4;
    options.seed = GetParam();
    return options;
  }

  void SendFor(duration time) {
    const time_point end = fleet.Now() + time;
    while (fleet.Now() < end) {
      const auto kind = static_cast<call_kind>(fleet.random()() % 4);
      const std::size_t gateway = fleet.random()() % fleet.gateway_count();
      const std::uint64_t events = 1 + fleet.random()() % 40;
      const auto request = fleet.SendRequest(kind, events, gateway);
      sent[request->id()] = {request, gateway, fleet.Now()};
      fleet.RunFor(kRoundTime);
      NoteDepartures();
    }
  }

  /** Notes when a gateway first passed on an answer of an endpoint that leaves. */
  void NoteDepartures() {
    for (const auto& [id, each] : sent) {
      if (each.request->heard_leaving()) {
        heard_at.try_emplace({each.gateway, each.request->endpoint()}, fleet.Now());
      }
    }
  }

  /** @return requests that reached an endpoint too late after it had said that it leaves. */
  std::string DescribeLateArrivals() const {
    std::string late;
    for (const request_arrival& arrival : fleet.record().request_arrivals()) {
      const auto found = sent.find(arrival.request);
      if (found == sent.end()) {
        continue;
      }
      const auto heard = heard_at.find({found->second.gateway, arrival.endpoint});
      if (heard != heard_at.end() && found->second.sent_at > heard->second + kDrainTime) {
        late += fmt::format("{} got {} from gateway {}\n", arrival.endpoint, arrival.request,
                            found->second.gateway);
      }
    }
    return late;
  }

  /** @return pauses in which an endpoint got too many requests. */
  std::string DescribeBrokenPauses() const {
    std::string broken;
    for (const stated_pause& pause : fleet.record().pauses()) {
      const auto turned_away = sent.find(pause.request);
      if (turned_away == sent.end()) {
        continue;
      }
      const std::size_t gateway = turned_away->second.gateway;
      const auto count = std::ranges::count_if(
          fleet.record().request_arrivals(), [&](const request_arrival& arrival) {
            const auto found = sent.find(arrival.request);
            return arrival.endpoint == pause.endpoint && found != sent.end() &&
                   found->second.gateway == gateway && arrival.at > pause.at + kPauseReaction &&
                   arrival.at < pause.at + pause.pause;
          });
      if (count > kMaxRequestsInPause) {
        broken += fmt::format("{} got {} requests from gateway {} in a pause of {} ms\n",
                              pause.endpoint, count, gateway, pause.pause.count());
      }
    }
    return broken;
  }

  void ExpectAllDone() {
    EXPECT_TRUE(fleet.RunUntil(
        [&] {
          return std::ranges::all_of(fleet.callers(),
                                     [](const auto& each) { return each->is_done(); });
        },
        seconds(20)));
    EXPECT_EQ(fleet.DescribeViolations(), "") << "seed " << GetParam();
  }

  double ServedShare(time_point from) const {
    int all = 0;
    int served = 0;
    for (const auto& [id, each] : sent) {
      all += each.sent_at >= from ? 1 : 0;
      served += each.sent_at >= from && each.request->is_served() ? 1 : 0;
    }
    return static_cast<double>(served) / std::max(all, 1);
  }

  fleet_emulator fleet{Options()};
  std::map<std::string, sent_request> sent;
  std::map<std::pair<std::size_t, std::string>, time_point> heard_at;
};

// Guards against requests to endpoints that say in their answers alone that they leave: the store
// is away, a row that is read later says ready, and a new incarnation serves at the same address.
TEST_P(server_statements_test, LeavingEndpointsGetNoRequests) {
  ASSERT_TRUE(fleet.WaitUntilServing());
  SendFor(seconds(1));
  const bool store_is_away = fleet.random()() % 2 == 0;
  fleet.store().SetState(store_is_away ? store_state::kSilent : store_state::kServing);
  fleet.engine(0).SayLeaving();
  fleet.plain_endpoint(0).SayLeaving();
  fleet.plain_endpoint(1).SayLeaving();
  SendFor(milliseconds(2500));
  EXPECT_FALSE(heard_at.empty());
  fleet.store().SetState(store_state::kServing);
  fleet.PublishEngine(0, /*leaving=*/false);
  fleet.PublishPlain(0, /*leaving=*/false);
  SendFor(seconds(3));
  const std::string reborn = fleet.ReincarnatePlain(1);
  const time_point start = fleet.Now();
  SendFor(seconds(2));
  ExpectAllDone();
  EXPECT_EQ(DescribeLateArrivals(), "") << "seed " << GetParam();
  EXPECT_GT(fleet.record().MaxArrivals(reborn, start, seconds(2)), 0U);
  EXPECT_GE(ServedShare(start), 0.9);
}

// Guards against requests to endpoints that have asked for a pause, and against requests that wait
// in vain while others could serve them.
TEST_P(server_statements_test, PausedEndpointsGetNoRequests) {
  ASSERT_TRUE(fleet.WaitUntilServing());
  SendFor(seconds(1));
  const time_point start = fleet.Now();
  const auto pause = milliseconds(1500 + fleet.random()() % 2000);
  fleet.engine(0).TurnAway(pause);
  fleet.plain_endpoint(0).TurnAway(pause);
  fleet.plain_endpoint(1).TurnAway(pause / 2);
  SendFor(seconds(5));
  fleet.engine(0).TurnAway(std::nullopt);
  fleet.plain_endpoint(0).TurnAway(std::nullopt);
  fleet.plain_endpoint(1).TurnAway(std::nullopt);
  SendFor(pause + seconds(1));
  ExpectAllDone();
  EXPECT_FALSE(fleet.record().pauses().empty());
  EXPECT_EQ(DescribeBrokenPauses(), "") << "seed " << GetParam();
  EXPECT_GE(ServedShare(start), 0.9);
}

// Guards against callers that wait in vain, or hear no time, while a whole service pauses or
// leaves.
TEST_P(server_statements_test, ServiceWithoutEndpointsRefusesAtOnce) {
  constexpr milliseconds kPause{3000};
  constexpr milliseconds kAtOnce{200};
  ASSERT_TRUE(fleet.WaitUntilServing());
  for (std::size_t i = 0; i < fleet.plain_count(); ++i) {
    fleet.plain_endpoint(i).TurnAway(kPause);
  }
  SendFor(seconds(1));
  ExpectAllDone();
  const auto read = fleet.SendRequest(call_kind::kRead, 0, 0);
  EXPECT_TRUE(fleet.RunUntil([&] { return read->is_done(); }, kAtOnce));
  EXPECT_TRUE(read->is_refused());
  EXPECT_GE(std::strtod(read->retry_after().c_str(), nullptr), 1);
  EXPECT_EQ(DescribeBrokenPauses(), "") << "seed " << GetParam();
  for (std::size_t i = 0; i < fleet.engine_count(); ++i) {
    fleet.engine(i).SayLeaving();
  }
  for (int i = 0; i < 30; ++i) {
    fleet.SendRequest(call_kind::kTag, 2, 0);
    fleet.RunFor(kRoundTime);
  }
  const auto tag = fleet.SendRequest(call_kind::kTag, 2, 0);
  EXPECT_TRUE(fleet.RunUntil([&] { return tag->is_done(); }, kAtOnce));
  EXPECT_TRUE(tag->is_refused());
  EXPECT_NE(tag->retry_after(), "");
}

INSTANTIATE_TEST_SUITE_P(Seeds, server_statements_test, testing::ValuesIn(Seeds()));

}  // namespace
}  // namespace tarragon::emulator
