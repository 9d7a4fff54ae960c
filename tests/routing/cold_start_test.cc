#include "tarragon/routing/cold_start.h"

#include <fmt/format.h>
#include <gtest/gtest.h>

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <random>
#include <string>
#include <vector>

#include "tarragon/routing/endpoint_picker.h"
#include "tarragon/routing/room_contention.h"

namespace tarragon::routing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr time_point kStart{seconds(100)};
constexpr cold_start kCold{27, milliseconds(1000)};

endpoint_entry MakeEntry(std::string id,
                         std::string failure_domain,
                         milliseconds cold = milliseconds(0)) {
  endpoint_entry entry;
  entry.id = std::move(id);
  entry.service = "s";
  entry.failure_domain = std::move(failure_domain);
  entry.slots = 24;
  entry.warm_up = cold;
  return entry;
}

class cold_endpoint_test : public testing::Test {
 protected:
  cold_endpoint_test() { registry.SetColdStarts(kStart, {{"s", kCold}}); }

  bool IsCold(time_point now) {
    registry.EndColdStarts(now);
    return registry.Find("e")->limit.is_cold();
  }

  endpoint_registry registry;
};

// Guards against an endpoint that counts as cold again because the copy from which the store has
// returned has kept the row of its start.
TEST_F(cold_endpoint_test, RowKeptByACopyStartsNoTime) {
  registry.Put(kStart, {1, 7}, MakeEntry("e", "d", milliseconds(500)));
  registry.Put(kStart + seconds(60), {2, 7}, MakeEntry("e", "d", milliseconds(500)));
  EXPECT_FALSE(IsCold(kStart + seconds(60)));
  registry.Put(kStart + seconds(60), {2, 8}, MakeEntry("e", "d", milliseconds(500)));
  EXPECT_TRUE(IsCold(kStart + seconds(60)));
}

// Guards against an endpoint that counts as cold for good because each read of the same row starts
// its time anew, and against one that becomes cold again unnoticed.
TEST_F(cold_endpoint_test, IsColdAsItsNewestRowSays) {
  registry.Put(kStart, 1, MakeEntry("e", "d", milliseconds(500)));
  EXPECT_TRUE(IsCold(kStart + milliseconds(499)));
  registry.Put(kStart + milliseconds(400), 1, MakeEntry("e", "d", milliseconds(500)));
  EXPECT_FALSE(IsCold(kStart + milliseconds(500)));
  registry.Put(kStart + seconds(2), 2, MakeEntry("e", "d", milliseconds(300)));
  EXPECT_TRUE(IsCold(kStart + seconds(2)));
  registry.Put(kStart + seconds(2), 3, MakeEntry("e", "d"));
  EXPECT_FALSE(IsCold(kStart + seconds(2)));
}

// Guards against full load on endpoints that have become cold during an evacuation, before a row
// says so, and against rows from before the order that pass for news.
TEST_F(cold_endpoint_test, IsColdAfterAnEvacuationUntilARowSaysOtherwise) {
  registry.Put(kStart, 1, MakeEntry("e", "d"));
  registry.BeginEvacuation(2, "d");
  registry.EndEvacuation(kStart, 5, "d");
  EXPECT_TRUE(IsCold(kStart));
  registry.Put(kStart, 4, MakeEntry("e", "d"));
  EXPECT_TRUE(IsCold(kStart + milliseconds(999)));
  registry.Put(kStart, 6, MakeEntry("e", "d"));
  EXPECT_FALSE(IsCold(kStart));
}

// Guards against an assumption that outlives the cold time because no row is written.
TEST_F(cold_endpoint_test, AssumedColdStartEndsAfterItsTime) {
  registry.Put(kStart, 1, MakeEntry("e", "d"));
  registry.BeginEvacuation(2, "d");
  registry.EndEvacuation(kStart, 5, "d");
  EXPECT_FALSE(IsCold(kStart + kCold.time));
}

// Guards against limits for services whose configuration names no rate for cold endpoints.
TEST_F(cold_endpoint_test, ServiceWithoutARateHasNoLimit) {
  registry.SetColdStarts(kStart, {});
  registry.Put(kStart, 1, MakeEntry("e", "d", milliseconds(500)));
  EXPECT_FALSE(registry.Find("e")->limit.is_limited());
}

// Guards against a cold endpoint whose named limit is forgotten, or hides the lower cold rate.
TEST_F(cold_endpoint_test, TheLowerOfTwoLimitsCounts) {
  rate_limit limit;
  limit.SetColdRate(3);
  limit.RecordAnswer(100);
  EXPECT_EQ(limit.Room(kStart), 3);
  limit.RecordAnswer(0.5);
  EXPECT_EQ(limit.Room(kStart), 2);
}

/** Daemons to which a failure domain returns at the same moment while all other engines are full.
 */
class returning_domain final {
 public:
  static constexpr std::size_t kDaemons = 72;
  static constexpr std::size_t kEndpoints = 5;

  explicit returning_domain(std::uint64_t seed) : random_(seed), daemons_(kDaemons) {
    for (endpoint_registry& registry : daemons_) {
      registry.SetColdStarts(kStart, {{"s", kCold}});
      registry.BeginEvacuation(1, "d");
      for (std::size_t i = 0; i < kEndpoints; ++i) {
        registry.Put(kStart, 2, MakeEntry(Id(i), "d"));
      }
      registry.EndEvacuation(kStart, 3, "d");
    }
  }

  /** Plays arrivals for the cold time. @return the most requests that an endpoint has got. */
  std::size_t Play(double per_second, milliseconds report_delay) {
    std::exponential_distribution<> gap(per_second);
    pick_request request;
    request.service = "s";
    request.contenders = CountArrivingContenders(kDaemons, per_second / kDaemons);
    for (time_point now = kStart; now < kStart + kCold.time;
         now += std::chrono::duration_cast<duration>(std::chrono::duration<double>(gap(random_)))) {
      const std::size_t daemon = random_() % kDaemons;
      Tell(daemon, now, report_delay);
      request.entropy = random_();
      if (const endpoint_ptr chosen = picker_.Pick(now, daemons_[daemon], request).chosen) {
        chosen->limit.RecordSend(now);
        ++chosen->own_load.requests;
        sends_.push_back({chosen->entry.id, daemon, now});
      }
    }
    std::size_t most = 0;
    for (std::size_t i = 0; i < kEndpoints; ++i) {
      most = std::max(most, static_cast<std::size_t>(std::ranges::count(sends_, Id(i), &send::id)));
    }
    return most;
  }
  std::size_t sent() const { return sends_.size(); }

 private:
  struct send {
    std::string id;
    std::size_t daemon;
    time_point at;
  };

  static std::string Id(std::size_t endpoint) { return fmt::format("e{}", endpoint); }

  /** Tells a daemon what the others have sent until `delay` ago. */
  void Tell(std::size_t daemon, time_point now, milliseconds delay) {
    for (std::size_t i = 0; i < kEndpoints; ++i) {
      const auto others = std::ranges::count_if(sends_, [&](const send& known) {
        return known.daemon != daemon && known.id == Id(i) && known.at + delay <= now;
      });
      endpoint& known = *daemons_[daemon].Find(Id(i));
      known.limit.SetPeers(now, {}, static_cast<std::uint32_t>(others));
      known.peer_load.requests = static_cast<std::uint32_t>(others);
    }
  }

  std::mt19937_64 random_;
  std::vector<endpoint_registry> daemons_;
  endpoint_picker picker_;
  std::vector<send> sends_;
};

// Load: a failure domain returns under a burst, and its empty endpoints attract all daemons at
// once, which hear of each other's sends up to 60 ms later. Guards against more than cold endpoints
// bear, and against leaving most of their rate unused.
TEST(ColdStartTest, ReturningDomainGetsWhatItBears) {
  constexpr double kTolerance = 1.5;
  constexpr double kSlack = 5;
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    for (const double per_second : {150.0, 400.0, 1200.0}) {
      returning_domain fleet(seed);
      const std::size_t most = fleet.Play(per_second, milliseconds(10 + 5 * seed));
      EXPECT_LE(static_cast<double>(most), kTolerance * kCold.per_second + kSlack)
          << "seed " << seed << ", " << per_second << " requests a second";
      EXPECT_GE(static_cast<double>(fleet.sent()),
                0.7 * std::min(per_second, kCold.per_second * returning_domain::kEndpoints));
    }
  }
}

}  // namespace
}  // namespace tarragon::routing
