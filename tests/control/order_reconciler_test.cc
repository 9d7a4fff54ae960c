#include "tarragon/control/order_reconciler.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <deque>
#include <random>
#include <vector>

namespace tarragon::control {
namespace {

using document::document_contents;
using document::operating_document;
using std::chrono::milliseconds;

constexpr milliseconds kStep{100};
constexpr int kEngines = 12;
constexpr int kFailureDomains = 3;
constexpr double kMinServingShare = 0.5;

document::document_ptr MakeDocument(std::uint64_t version,
                                    const std::string& model_version,
                                    double min_serving_share = kMinServingShare) {
  document_contents contents;
  contents.models.push_back({"quotes", model_version, {"shop"}, min_serving_share});
  contents.services.push_back({"drafter", document::service_kind::kModel, "quotes", "quote", {}});
  for (int i = 0; i < kEngines; ++i) {
    document::endpoint_settings endpoint;
    endpoint.name = "engine-" + std::to_string(i);
    endpoint.service = "drafter";
    endpoint.failure_domain = "fd-" + std::to_string(i % kFailureDomains);
    contents.endpoints.push_back(endpoint);
  }
  return operating_document::MakeForTesting(version, std::move(contents));
}

/** An engine that loads for some steps after each order that changes its setup. */
struct fake_engine {
  engine_report report;
  bool checks_fencing = false;
  int loading_steps = 0;
  bool fails_loads = false;

  order_answer Take(const engine_order& order, int load_steps) {
    if (checks_fencing && order.fencing_number < report.order_fencing) {
      return order_answer::kFenced;
    }
    report.order_fencing = order.fencing_number;
    report.order_document_version = order.document_version;
    if (fails_loads) {
      return order_answer::kFailed;
    }
    if (report.setup != order.wanted) {
      report.setup = order.wanted;
      report.loading = true;
      loading_steps = load_steps;
    }
    return order_answer::kAccepted;
  }

  void Step() {
    if (loading_steps > 0 && --loading_steps == 0) {
      report.loading = false;
    }
  }
};

class rollout_world {
 public:
  rollout_world(std::uint64_t seed, reconcile_options options)
      : random_(seed), reconciler_(options) {
    for (int i = 0; i < kEngines; ++i) {
      fake_engine engine;
      engine.report.endpoint = "engine-" + std::to_string(i);
      engine.report.setup = {"quotes", "v1", {"shop"}, "drafter"};
      engine.checks_fencing = i % 2 == 0;
      engines_.push_back(engine);
    }
  }

  order_reconciler& reconciler() { return reconciler_; }
  std::vector<fake_engine>& engines() { return engines_; }
  time_point now() const { return now_; }

  /** Orders of an earlier holder that are still on their way. */
  void SendStale(const engine_order& order, int in_steps) { stale_.push_back({order, in_steps}); }

  void Step(std::uint64_t fencing, double loss) {
    now_ += kStep;
    for (fake_engine& engine : engines_) {
      engine.Step();
    }
    for (auto& [order, in_steps] : stale_) {
      if (--in_steps == 0) {
        (void)Engine(order.endpoint).Take(order, kLoadSteps);
      }
    }
    if (++steps_ % 10 == 0) {
      std::ranges::for_each(engines_, [this](const fake_engine& engine) {
        reconciler_.OnReport(now_, engine.report);
      });
    }
    for (const engine_order& order : reconciler_.Next(now_, fencing)) {
      const bool lost = Chance(loss);
      const bool answer_lost = Chance(loss);
      order_answer answer = order_answer::kUnknown;
      if (!lost) {
        answer = Engine(order.endpoint).Take(order, kLoadSteps);
      }
      reconciler_.OnAnswer(now_, order, lost || answer_lost ? order_answer::kUnknown : answer);
    }
  }

  int Serving() const {
    return static_cast<int>(std::ranges::count_if(
        engines_, [](const fake_engine& engine) { return !engine.report.loading; }));
  }

  int LoadingIn(int failure_domain) const {
    int count = 0;
    for (int i = failure_domain; i < kEngines; i += kFailureDomains) {
      count += engines_[static_cast<std::size_t>(i)].report.loading ? 1 : 0;
    }
    return count;
  }

  bool AllHave(const std::string& version) const {
    return std::ranges::all_of(engines_, [&](const fake_engine& engine) {
      return engine.report.setup.version == version && !engine.report.loading;
    });
  }

 private:
  static constexpr int kLoadSteps = 30;

  bool Chance(double p) { return std::bernoulli_distribution(p)(random_); }
  fake_engine& Engine(const endpoint_name& name) {
    return *std::ranges::find_if(
        engines_, [&](const fake_engine& engine) { return engine.report.endpoint == name; });
  }

  struct stale_order {
    engine_order order;
    int in_steps;
  };

  std::mt19937_64 random_;
  order_reconciler reconciler_;
  std::vector<fake_engine> engines_;
  std::vector<stale_order> stale_;
  time_point now_{std::chrono::hours(1)};
  int steps_ = 0;
};

// Guards against a rollout that takes too many engines out of service, or several of one failure
// domain at a time, and against one that never ends when orders and answers are lost.
RC_GTEST_PROP(OrderReconcilerProperty, RolloutConvergesAndKeepsServing, (std::uint64_t seed)) {
  rollout_world world(seed, {});
  const double share = *rc::gen::element(0.5, 0.8, 0.9);
  world.reconciler().OnDocument(MakeDocument(2, "v2", share));
  for (int i = 0; i < 1200; ++i) {
    world.Step(1, /*loss=*/0.3);
    RC_ASSERT(world.Serving() >= kEngines * share);
    for (int domain = 0; domain < kFailureDomains; ++domain) {
      RC_ASSERT(world.LoadingIn(domain) <= 1);
    }
  }
  RC_ASSERT(world.AllHave("v2"));
  RC_ASSERT(world.reconciler().Rollouts(world.now()).front().state == rollout_state::kDone);
}

// Guards against lasting harm by a holder that was frozen and sends its orders after its term, at
// engines that ignore fencing numbers.
RC_GTEST_PROP(OrderReconcilerProperty, StaleOrdersAreUndone, (std::uint64_t seed)) {
  rollout_world world(seed, {});
  world.reconciler().OnDocument(MakeDocument(2, "v2"));
  for (int i = 0; i < 800; ++i) {
    world.Step(2, 0);
  }
  RC_ASSERT(world.AllHave("v2"));
  const int stale = *rc::gen::inRange(1, 5);
  for (int i = 0; i < stale; ++i) {
    const auto engine = *rc::gen::inRange(0, kEngines);
    world.SendStale(
        {"engine-" + std::to_string(engine), 1, 1, {"quotes", "v1", {"shop"}, "drafter"}},
        *rc::gen::inRange(1, 100));
  }
  for (int i = 0; i < 100 + 50 + 30; ++i) {
    world.Step(2, 0);
    for (const fake_engine& engine : world.engines()) {
      RC_ASSERT(!engine.checks_fencing || engine.report.setup.version == "v2");
    }
  }
  RC_ASSERT(world.AllHave("v2"));
}

// Guards against a bad version that is loaded on one engine after the other.
TEST(OrderReconciler, StopsAfterFailuresAndSaysWhy) {
  rollout_world world(1, {});
  std::ranges::for_each(world.engines(), [](fake_engine& engine) { engine.fails_loads = true; });
  world.reconciler().OnDocument(MakeDocument(2, "v2"));
  for (int i = 0; i < 300; ++i) {
    world.Step(1, 0);
  }
  const rollout_record record = world.reconciler().Rollouts(world.now()).front();
  EXPECT_EQ(record.state, rollout_state::kStopped);
  EXPECT_LE(record.failures, 2U + kFailureDomains - 1U);
  EXPECT_NE(record.reason.find("refused the order"), std::string::npos);

  // A new version starts again from zero failures.
  std::ranges::for_each(world.engines(), [](fake_engine& engine) { engine.fails_loads = false; });
  world.reconciler().OnDocument(MakeDocument(3, "v3"));
  for (int i = 0; i < 800; ++i) {
    world.Step(1, 0);
  }
  EXPECT_TRUE(world.AllHave("v3"));
}

// Guards against a rollout that waits for ever without telling operators what it waits for.
TEST(OrderReconciler, SaysThatTheServingShareHoldsARollout) {
  rollout_world world(1, {});
  world.reconciler().OnDocument(MakeDocument(2, "v2", /*min_serving_share=*/1.0));
  for (int i = 0; i < 100; ++i) {
    world.Step(1, 0);
  }
  EXPECT_TRUE(world.AllHave("v1"));
  const rollout_record record = world.reconciler().Rollouts(world.now()).front();
  EXPECT_EQ(record.state, rollout_state::kRunning);
  EXPECT_NE(record.reason.find("min_serving_share"), std::string::npos);
}

// Guards against a successor that repeats a rollout which its predecessor had stopped.
TEST(OrderReconciler, RestoredFailuresKeepTheRolloutStopped) {
  rollout_world world(1, {});
  world.reconciler().OnDocument(MakeDocument(2, "v2"));
  world.reconciler().Restore(
      {"quotes", "v2", rollout_state::kStopped, 0, kEngines, 2, "engine-1 refused the order"});
  for (int i = 0; i < 100; ++i) {
    world.Step(5, 0);
  }
  EXPECT_TRUE(world.AllHave("v1"));
}

// Guards against going back to an older document.
TEST(OrderReconciler, IgnoresOlderDocuments) {
  rollout_world world(1, {});
  world.reconciler().OnDocument(MakeDocument(3, "v1"));
  world.reconciler().OnDocument(MakeDocument(2, "v0"));
  for (int i = 0; i < 100; ++i) {
    world.Step(1, 0);
  }
  EXPECT_TRUE(world.AllHave("v1"));
}

// Guards against a rollout record that a successor cannot read.
TEST(RolloutRecord, RoundTripsAndRejectsGarbage) {
  const rollout_record record{"quotes", "v2", rollout_state::kStopped, 3, 12, 2, "out of memory"};
  EXPECT_EQ(rollout_record::Decode(record.Encode()), record);
  EXPECT_EQ(rollout_record::Decode("[]"), std::nullopt);
  EXPECT_EQ(rollout_record::Decode("{\"model\":1}"), std::nullopt);
}

}  // namespace
}  // namespace tarragon::control
