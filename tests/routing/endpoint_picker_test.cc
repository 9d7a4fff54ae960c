#include "tarragon/routing/endpoint_picker.h"

#include <gtest/gtest.h>

#include <map>
#include <string>

namespace tarragon::routing {
namespace {

constexpr engine_limits kEngine{24, 34000, true, true};

class endpoint_picker_test : public testing::Test {
 protected:
  endpoint_picker_test() {
    for (const char* id : {"a", "b", "c"}) {
      endpoint_entry entry;
      entry.id = id;
      entry.service = "s";
      entry.address = "10.0.0.1:80";
      entry.failure_domain = "d";
      entry.slots = 6;
      registry.Put(now, 1, entry);
    }
    wanted.service = "s";
    wanted.own_failure_domain = "d";
  }

  endpoint& At(const std::string& id) { return *registry.Find(id); }

  std::string Chosen() {
    const pick_result pick = picker.Pick(now, registry, wanted);
    return pick.chosen ? pick.chosen->entry.id : "";
  }

  std::string ChosenFor(copy_purpose purpose, std::uint64_t entropy = 5) {
    return picker.PickCopy(now, registry, wanted, purpose, entropy).chosen->entry.id;
  }

  static constexpr std::chrono::milliseconds kFast{28};
  static constexpr std::chrono::milliseconds kSlow{37};

  /** Lets the daemon learn the pace of an engine. */
  void Teach(const std::string& id, std::chrono::milliseconds pace) {
    for (int i = 0; i < 32; ++i) {
      At(id).pace.Record(now + std::chrono::milliseconds(50 * i), pace, 0);
    }
  }

  void WantLong() {
    wanted.engine = &kEngine;
    wanted.size = {3000, 1000, 2000};
    wanted.pause_objective = std::chrono::milliseconds(180);
  }
  void WantShort() {
    wanted.engine = &kEngine;
    wanted.size = {2200, 16, 52};
    wanted.pause_objective = std::chrono::milliseconds(180);
  }

  time_point now{std::chrono::seconds(50)};
  endpoint_registry registry;
  endpoint_picker picker;
  pick_request wanted;
};

// Guards against short work that waits behind requests of other daemons at the same endpoint.
TEST_F(endpoint_picker_test, CountsRequestsOfOtherDaemons) {
  At("a").others.requests = 3;
  At("b").own.requests = 2;
  EXPECT_EQ(Chosen(), "c");
}

// Guards against an engine that runs out of memory while another has room.
TEST_F(endpoint_picker_test, EngineWithoutMemoryIsTheLastChoice) {
  wanted.engine = &kEngine;
  wanted.size = {3000, 1000};
  At("a").own.tokens = 31000;
  At("b").own.tokens = 31000;
  At("c").own = {7, 20000, 9000};
  EXPECT_EQ(Chosen(), "c");
}

// Guards against prompts that are queued behind one another at one engine.
TEST_F(endpoint_picker_test, AvoidsEnginesThatReadPrompts) {
  wanted.engine = &kEngine;
  wanted.size = {3000, 1000};
  At("a").own.unread_tokens = 5000;
  At("b").others.unread_tokens = 2000;
  At("c").own = {2, 8000, 0};
  EXPECT_EQ(Chosen(), "c");
}

// Guards against long streams at engines whose intervals pass the promised pause as soon as a
// prompt is read beside them in a slow moment (dobrescu-gaz, calm: 16 of 136 reports late for
// pauses).
TEST_F(endpoint_picker_test, LongStreamsAvoidEnginesThatPauseTooLong) {
  Teach("a", kSlow);
  Teach("b", kFast);
  At("c").slowness.LearnLeast(1.3);
  At("b").own = {3, 12000, 0};
  WantLong();
  EXPECT_EQ(Chosen(), "b");
  EXPECT_EQ(ChosenFor(copy_purpose::kStandby), "b");
}

// Guards against long outputs that are taken for short ones by a wrong estimate.
TEST_F(endpoint_picker_test, LongestOutputDecidesWhetherAStreamIsLong) {
  Teach("a", kSlow);
  Teach("b", kFast);
  Teach("c", kSlow);
  At("b").own = {3, 12000, 0};
  WantLong();
  wanted.size.output_tokens = 16;
  EXPECT_EQ(Chosen(), "b");
}

// Guards against prompts of short work that fill the engines that long streams need, and against
// such prompts beside a long stream that runs at a slow engine.
TEST_F(endpoint_picker_test, ShortWorkUsesSlowEnginesWithoutLongStreams) {
  Teach("a", kSlow);
  Teach("b", kFast);
  Teach("c", kSlow);
  At("a").others.long_streams = 1;
  WantShort();
  EXPECT_EQ(Chosen(), "c");
  At("c").own.long_streams = 1;
  EXPECT_EQ(Chosen(), "b");
}

// Guards against engines of unknown speed that nobody learns of because nobody uses them.
TEST_F(endpoint_picker_test, ShortWorkTriesUnknownEnginesAndLongStreamsDoNot) {
  Teach("a", kFast);
  Teach("b", kFast);
  At("a").own = At("b").own = {1, 4000, 0};
  WantShort();
  EXPECT_EQ(Chosen(), "c");
  WantLong();
  EXPECT_NE(Chosen(), "c");
}

// Guards against backups that fill the memory of the engines on which long streams run without
// long pauses (dobrescu-gaz, quiet-1: such streams had to run on slow engines instead).
TEST_F(endpoint_picker_test, BackupsPreferEnginesThatDoNotSuitRuns) {
  Teach("a", kSlow);
  Teach("b", kFast);
  Teach("c", kFast);
  WantLong();
  std::map<std::string, int> counts;
  constexpr std::uint64_t kDraws = 600;
  constexpr std::uint64_t kStep = std::uint64_t{6} * 34000 / kDraws;
  for (std::uint64_t i = 0; i < kDraws; ++i) {
    ++counts[ChosenFor(copy_purpose::kBackup, i * kStep)];
  }
  EXPECT_EQ(counts["a"], 400);
  EXPECT_EQ(counts["b"], 100);
}

TEST_F(endpoint_picker_test, PrefersEndpointsThatAreNotSlowed) {
  At("a").slowness.Record(now, 2.5);
  At("b").slowness.Record(now, 2.5);
  EXPECT_EQ(Chosen(), "c");
}

// Guards against a stale report that keeps an endpoint out of use.
TEST_F(endpoint_picker_test, OldSlownessIsForgotten) {
  At("a").slowness.Record(now - std::chrono::seconds(5), 9);
  At("b").own.requests = 1;
  At("c").own.requests = 1;
  EXPECT_EQ(Chosen(), "a");
}

TEST_F(endpoint_picker_test, LeavesOutExcludedAndAvoidedEndpoints) {
  wanted.excluded = {"a"};
  At("b").avoid_until = now + std::chrono::milliseconds(1);
  EXPECT_EQ(Chosen(), "c");
  registry.Remove(now, 2, "c");
  EXPECT_EQ(Chosen(), "");
}

// Guards against all daemons copying the generations of a leaving engine to the same other one.
TEST_F(endpoint_picker_test, CopiesAreSpreadByFreeMemory) {
  wanted.engine = &kEngine;
  wanted.size = {3000, 1000};
  At("a").own.tokens = 33000;  // no room
  At("b").own.tokens = 24000;  // 10,000 free
  At("c").own.tokens = 14000;  // 20,000 free
  std::map<std::string, int> counts;
  constexpr std::uint64_t kDraws = 300;
  for (std::uint64_t i = 0; i < kDraws; ++i) {
    ++counts[ChosenFor(copy_purpose::kStandby, i * 100)];
  }
  EXPECT_EQ(counts["a"], 0);
  EXPECT_EQ(counts["b"], 100);
  EXPECT_EQ(counts["c"], 200);
}

}  // namespace
}  // namespace tarragon::routing
