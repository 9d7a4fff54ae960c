#include "tarragon/routing/rate_limit.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <chrono>
#include <deque>
#include <random>
#include <vector>

#include "tarragon/routing/endpoint_picker.h"

namespace tarragon::routing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr time_point kStart{seconds(100)};

// Guards against a limit that is kept although the endpoint has ceased to name it, and against a
// change for each answer that names a slightly different rate.
TEST(RateLimitTest, FollowsWhatTheEndpointSays) {
  rate_limit limit;
  EXPECT_EQ(limit.RecordAnswer(std::nullopt), limit_change::kNone);
  EXPECT_EQ(limit.RecordAnswer(5), limit_change::kBegun);
  EXPECT_EQ(limit.RecordAnswer(5.1), limit_change::kNone);
  EXPECT_EQ(limit.RecordAnswer(2), limit_change::kChanged);
  EXPECT_EQ(limit.statement(), (limit_statement{2, 2.0}));
  EXPECT_EQ(limit.RecordAnswer(std::nullopt), limit_change::kEnded);
  EXPECT_TRUE(limit.HasRoom(kStart));
}

// Guards against daemons that disagree about a limit for good because messages came in another
// order, and against an outdated limit that comes back.
RC_GTEST_PROP(RateLimitTest, DaemonsAgreeOnTheLatestStatement, ()) {
  constexpr std::size_t kDaemons = 4;
  std::vector<rate_limit> daemons(kDaemons);
  const int steps = *rc::gen::inRange(1, 30);
  for (int step = 0; step < steps; ++step) {
    rate_limit& daemon = daemons[*rc::gen::inRange<std::size_t>(0, kDaemons)];
    const rate_limit& other = daemons[*rc::gen::inRange<std::size_t>(0, kDaemons)];
    if (*rc::gen::arbitrary<bool>()) {
      daemon.SetPeers(kStart, other.statement(), 0);
    } else {
      const int per_second = *rc::gen::inRange(0, 3);
      daemon.RecordAnswer(per_second == 0 ? std::nullopt : std::optional<double>(per_second));
    }
  }
  std::uint32_t latest = 0;
  for (rate_limit& daemon : daemons) {
    latest = std::max(latest, daemon.statement().revision);
    std::ranges::for_each(
        daemons, [&](const rate_limit& other) { daemon.SetPeers(kStart, other.statement(), 0); });
  }
  for (rate_limit& daemon : daemons) {
    std::ranges::for_each(
        daemons, [&](const rate_limit& other) { daemon.SetPeers(kStart, other.statement(), 0); });
    RC_ASSERT(daemon.statement() == daemons[0].statement());
    RC_ASSERT(daemon.statement().revision == latest);
  }
}

// Guards against an endpoint that never gets another request, so that its recovery is never seen.
TEST(RateLimitTest, EndpointThatTakesNothingIsAskedNowAndThen) {
  rate_limit limit;
  limit.RecordAnswer(0);
  EXPECT_TRUE(limit.HasRoom(kStart));
  limit.RecordSend(kStart);
  EXPECT_FALSE(limit.HasRoom(kStart + seconds(9)));
  EXPECT_EQ(limit.TimeToRoom(kStart + seconds(9)), seconds(10));
  EXPECT_TRUE(limit.HasRoom(kStart + seconds(10)));
}

// Guards against a daemon that has lost its peers and sends as if they had sent nothing.
TEST(RateLimitTest, LostPeersMakeNoRoomAtOnce) {
  rate_limit limit;
  limit.RecordAnswer(2);
  limit.SetPeers(kStart, {}, 8);
  EXPECT_FALSE(limit.HasRoom(kStart));
  limit.SetPeers(kStart + milliseconds(10), {}, 0);
  EXPECT_FALSE(limit.HasRoom(kStart + milliseconds(10)));
  EXPECT_TRUE(limit.HasRoom(kStart + seconds(4)));
}

/** Daemons that send to one limited endpoint and learn of each other's sends after a delay. */
class limited_fleet final {
 public:
  limited_fleet(std::size_t daemons, double per_second, milliseconds delay)
      : daemons_(daemons), delay_(delay) {
    for (rate_limit& daemon : daemons_) {
      daemon.RecordAnswer(per_second);
    }
  }

  /** Plays requests at random daemons, `demand` a second. @return the times of those sent. */
  std::vector<time_point> Play(double demand, seconds time, std::mt19937_64& random) {
    std::vector<time_point> sent;
    std::exponential_distribution<> gap(demand);
    for (time_point now = kStart; now < kStart + time;
         now += std::chrono::duration_cast<duration>(std::chrono::duration<double>(gap(random)))) {
      rate_limit& daemon = daemons_[random() % daemons_.size()];
      daemon.SetPeers(now, {}, KnownSends(now) - OwnKnownSends(daemon, now));
      if (daemon.HasRoom(now)) {
        daemon.RecordSend(now);
        sent.push_back(now);
        told_.push_back({&daemon, now});
      }
    }
    return sent;
  }

 private:
  static constexpr seconds kWindow{4};

  struct told_send {
    const rate_limit* daemon;
    time_point at;
  };

  bool IsKnown(const told_send& send, time_point now) const {
    return send.at + delay_ <= now && send.at + kWindow > now;
  }
  std::uint32_t KnownSends(time_point now) {
    while (!told_.empty() && told_.front().at + kWindow <= now) {
      told_.pop_front();
    }
    return static_cast<std::uint32_t>(
        std::ranges::count_if(told_, [&](const told_send& send) { return IsKnown(send, now); }));
  }
  std::uint32_t OwnKnownSends(const rate_limit& daemon, time_point now) const {
    return static_cast<std::uint32_t>(std::ranges::count_if(told_, [&](const told_send& send) {
      return send.daemon == &daemon && IsKnown(send, now);
    }));
  }

  std::vector<rate_limit> daemons_;
  milliseconds delay_;
  std::deque<told_send> told_;
};

// Plays two to eight times the rate that an endpoint takes, at 1 to 195 daemons. Guards against
// daemons that together send more than the platform allows, or far less than the endpoint takes.
RC_GTEST_PROP(RateLimitTest, FleetKeepsToTheLimitAndUsesIt, ()) {
  constexpr seconds kWindow{4};
  const auto daemons = *rc::gen::element<std::size_t>(1, 8, 195);
  const double per_second = *rc::gen::element(0.5, 1.0, 5.0, 20.0);
  // A short play may have few requests by chance, and those that find no room are dropped.
  const seconds play_time{static_cast<int>(2400 / per_second)};
  const double demand = per_second * *rc::gen::inRange(2, 9);
  const milliseconds delay{*rc::gen::inRange(5, 100)};
  std::mt19937_64 random(*rc::gen::arbitrary<std::uint64_t>());
  limited_fleet fleet(daemons, per_second, delay);
  const std::vector<time_point> sent = fleet.Play(demand, play_time, random);
  for (auto first = sent.begin(); first != sent.end(); ++first) {
    const auto in_window = std::lower_bound(first, sent.end(), *first + kWindow) - first;
    RC_ASSERT(static_cast<double>(in_window) <= 1.5 * per_second * kWindow.count() + 5);
  }
  RC_ASSERT(static_cast<double>(sent.size()) >=
            0.7 * per_second * static_cast<double>(play_time.count()));
}

class limited_endpoint_test : public testing::Test {
 protected:
  limited_endpoint_test() {
    for (const char* id : {"a", "b"}) {
      endpoint_entry entry;
      entry.id = id;
      entry.service = "s";
      entry.slots = 24;
      registry.Put(kStart, 1, entry);
    }
    request.service = "s";
    request.engine = &kEngine;
    request.size = {3000, 1000, 2000};
  }

  void UseUp(const char* id) {
    endpoint& known = *registry.Find(id);
    known.limit.RecordAnswer(0.25);
    known.limit.RecordSend(kStart);
  }

  static constexpr engine_limits kEngine{24, 34000, true, true};
  endpoint_registry registry;
  endpoint_picker picker;
  pick_request request;
};

// Guards against requests to an endpoint that takes no more of them while another one does, even if
// that one has no free slot.
TEST_F(limited_endpoint_test, GetsNothingBeyondItsLimit) {
  UseUp("a");
  registry.Find("b")->own_load.requests = 24;
  const pick_result pick = picker.Pick(kStart, registry, request);
  EXPECT_EQ(pick.chosen->entry.id, "b");
  EXPECT_FALSE(pick.has_capacity);
  UseUp("b");
  EXPECT_EQ(picker.Pick(kStart, registry, request).chosen, nullptr);
  EXPECT_EQ(picker.Pick(kStart, registry, request).time_to_room, seconds(4));
}

// Guards against a stream that is broken off because the engines left are limited.
TEST_F(limited_endpoint_test, StreamThatHasBegunMayExceedTheLimit) {
  UseUp("a");
  request.has_begun = true;
  EXPECT_EQ(picker.Pick(kStart, registry, request).chosen->entry.id, "b");
  UseUp("b");
  EXPECT_NE(picker.Pick(kStart, registry, request).chosen, nullptr);
  EXPECT_FALSE(picker.Pick(kStart, registry, request).is_within_limit);
}

// Guards against backups that all move to a limited engine when an engine is lost.
TEST_F(limited_endpoint_test, IsALastResortForCopies) {
  registry.Find("a")->limit.RecordAnswer(2);
  for (std::uint64_t draw = 1; draw < 100; ++draw) {
    EXPECT_EQ(picker.PickCopyTarget(kStart, registry, request, copy_purpose::kBackup, draw * 997)
                  .chosen->entry.id,
              "b");
  }
}

}  // namespace
}  // namespace tarragon::routing
