#include "tarragon/routing/pause_predictor.h"

#include <gtest/gtest.h>

#include <memory>

namespace tarragon::routing {
namespace {

using std::chrono::milliseconds;

class pause_predictor_test : public testing::Test {
 protected:
  endpoint& Add() {
    engines.push_back(std::make_shared<endpoint>());
    return *engines.back();
  }
  endpoint& AddKnown(milliseconds pace, double slowness) {
    endpoint& engine = Add();
    for (int i = 0; i < 24; ++i) {
      engine.pace.Record(time_point{} + milliseconds(50 * i), pace, 0);
    }
    engine.slowness.Record(time_point{}, slowness);
    return engine;
  }
  bool PassesPause(const endpoint& engine, milliseconds objective) const {
    return pause_predictor(engines).LongestPause(engine).value() > objective;
  }

  std::vector<endpoint_ptr> engines;
};

TEST_F(pause_predictor_test, KnowsNothingOfNewEngines) {
  EXPECT_EQ(pause_predictor({}).LongestPause(Add()), std::nullopt);
}

// Guards against long streams at new slow engines whose events nobody has seen yet (dobrescu-gaz,
// quiet-1 with 8 seeds: 33 of 944 reports late there).
TEST_F(pause_predictor_test, NewEngineIsJudgedByItsSlowness) {
  AddKnown(milliseconds(28), 1.0);
  AddKnown(milliseconds(28), 1.0);
  endpoint& slow = Add();
  slow.slowness.Record(time_point{}, 1.3);
  endpoint& fast = Add();
  fast.slowness.Record(time_point{}, 1.0);
  EXPECT_TRUE(PassesPause(slow, milliseconds(180)));
  EXPECT_FALSE(PassesPause(fast, milliseconds(180)));
}

// Guards against trusting the report of an engine whose streams are slow.
TEST_F(pause_predictor_test, SettledPaceGoesBeforeReportedSlowness) {
  AddKnown(milliseconds(28), 1.0);
  AddKnown(milliseconds(28), 1.0);
  EXPECT_TRUE(PassesPause(AddKnown(milliseconds(40), 1.0), milliseconds(180)));
}

// Guards against one engine whose few intervals fell into a slow moment and mark the whole fleet.
TEST_F(pause_predictor_test, OneOddPaceDoesNotMatter) {
  AddKnown(milliseconds(75), 1.0);
  for (int i = 0; i < 4; ++i) {
    AddKnown(milliseconds(28), 1.0);
  }
  endpoint& fresh = Add();
  fresh.slowness.Record(time_point{}, 1.0);
  EXPECT_FALSE(PassesPause(fresh, milliseconds(180)));
}

// Services that do not tell their load are judged by the pace alone.
TEST_F(pause_predictor_test, PaceIsEnoughWithoutSlowness) {
  endpoint& engine = Add();
  for (int i = 0; i < 3; ++i) {
    engine.pace.Record(time_point{} + milliseconds(50 * i), milliseconds(40), 0);
  }
  EXPECT_TRUE(PassesPause(engine, milliseconds(180)));
}

}  // namespace
}  // namespace tarragon::routing
