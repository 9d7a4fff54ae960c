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

/** Engine that loads for a number of steps after each order that changes its setup. */
struct fake_engine {
  engine_report report;
  bool checks_fencing = false;
  int loading_steps = 0;
  bool fails_loads = false;

  order_result ApplyOrder(const engine_order& order, int load_steps) {
    if (checks_fencing && order.fencing_number < report.order_fencing) {
      return order_result::kFenced;
    }
    report.order_fencing = order.fencing_number;
    report.order_document_version = order.document_version;
    if (fails_loads) {
      return order_result::kFailed;
    }
    if (report.setup != order.desired) {
      report.setup = order.desired;
      report.loading = true;
      loading_steps = load_steps;
    }
    return order_result::kAccepted;
  }

  void Step() {
    if (loading_steps > 0 && --loading_steps == 0) {
      report.loading = false;
    }
  }
};

class rollout_simulation {
 public:
  rollout_simulation(std::uint64_t seed, reconcile_options options)
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

  /** Delivers an order of an earlier lease holder after `in_steps` steps. */
  void SendStaleOrder(const engine_order& order, int in_steps) {
    stale_orders_.push_back({order, in_steps});
  }

  void Step(std::uint64_t fencing_number, double loss) {
    now_ += kStep;
    for (fake_engine& engine : engines_) {
      engine.Step();
    }
    for (auto& [order, steps_left] : stale_orders_) {
      if (--steps_left == 0) {
        (void)FindEngine(order.endpoint).ApplyOrder(order, kLoadSteps);
      }
    }
    if (++steps_ % 10 == 0) {
      std::ranges::for_each(engines_, [this](const fake_engine& engine) {
        reconciler_.OnReport(now_, engine.report);
      });
    }
    for (const engine_order& order : reconciler_.NextOrders(now_, fencing_number)) {
      const bool lost = Chance(loss);
      const bool answer_lost = Chance(loss);
      order_result result = order_result::kUnknown;
      if (!lost) {
        result = FindEngine(order.endpoint).ApplyOrder(order, kLoadSteps);
      }
      reconciler_.OnOrderResult(now_, order, lost || answer_lost ? order_result::kUnknown : result);
    }
  }

  int ServingCount() const {
    return static_cast<int>(std::ranges::count_if(
        engines_, [](const fake_engine& engine) { return !engine.report.loading; }));
  }

  int LoadingCountIn(int failure_domain) const {
    int count = 0;
    for (int i = failure_domain; i < kEngines; i += kFailureDomains) {
      count += engines_[static_cast<std::size_t>(i)].report.loading ? 1 : 0;
    }
    return count;
  }

  bool AllServe(const std::string& version) const {
    return std::ranges::all_of(engines_, [&](const fake_engine& engine) {
      return engine.report.setup.version == version && !engine.report.loading;
    });
  }

 private:
  static constexpr int kLoadSteps = 30;

  bool Chance(double p) { return std::bernoulli_distribution(p)(random_); }
  fake_engine& FindEngine(const endpoint_name& name) {
    return *std::ranges::find_if(
        engines_, [&](const fake_engine& engine) { return engine.report.endpoint == name; });
  }

  struct stale_order {
    engine_order order;
    int steps_left;
  };

  std::mt19937_64 random_;
  order_reconciler reconciler_;
  std::vector<fake_engine> engines_;
  std::vector<stale_order> stale_orders_;
  time_point now_{std::chrono::hours(1)};
  int steps_ = 0;
};

// Guards against a rollout that violates min_serving_share or loads on several engines of one
// failure domain at a time, and against one that never ends when orders and answers are lost.
RC_GTEST_PROP(OrderReconcilerProperty, RolloutConvergesAndKeepsServing, (std::uint64_t seed)) {
  rollout_simulation simulation(seed, {});
  const double share = *rc::gen::element(0.5, 0.8, 0.9);
  simulation.reconciler().OnDocument(MakeDocument(2, "v2", share));
  for (int i = 0; i < 1200; ++i) {
    simulation.Step(1, /*loss=*/0.3);
    RC_ASSERT(simulation.ServingCount() >= kEngines * share);
    for (int domain = 0; domain < kFailureDomains; ++domain) {
      RC_ASSERT(simulation.LoadingCountIn(domain) <= 1);
    }
  }
  RC_ASSERT(simulation.AllServe("v2"));
  RC_ASSERT(simulation.reconciler().Rollouts(simulation.now()).front().state ==
            rollout_state::kDone);
}

// Guards against engines that stay at an old version: a paused lease holder may send its orders
// after its term, and some engines ignore fencing numbers.
RC_GTEST_PROP(OrderReconcilerProperty, StaleOrdersAreUndone, (std::uint64_t seed)) {
  rollout_simulation simulation(seed, {});
  simulation.reconciler().OnDocument(MakeDocument(2, "v2"));
  for (int i = 0; i < 800; ++i) {
    simulation.Step(2, 0);
  }
  RC_ASSERT(simulation.AllServe("v2"));
  const int stale = *rc::gen::inRange(1, 5);
  for (int i = 0; i < stale; ++i) {
    const auto engine = *rc::gen::inRange(0, kEngines);
    simulation.SendStaleOrder(
        {"engine-" + std::to_string(engine), 1, 1, {"quotes", "v1", {"shop"}, "drafter"}},
        *rc::gen::inRange(1, 100));
  }
  for (int i = 0; i < 100 + 50 + 30; ++i) {
    simulation.Step(2, 0);
    for (const fake_engine& engine : simulation.engines()) {
      RC_ASSERT(!engine.checks_fencing || engine.report.setup.version == "v2");
    }
  }
  RC_ASSERT(simulation.AllServe("v2"));
}

// Guards against a rollout that goes on to all engines although each load of the version fails.
TEST(OrderReconciler, StopsAfterFailuresAndReportsReason) {
  rollout_simulation simulation(1, {});
  std::ranges::for_each(simulation.engines(),
                        [](fake_engine& engine) { engine.fails_loads = true; });
  simulation.reconciler().OnDocument(MakeDocument(2, "v2"));
  for (int i = 0; i < 300; ++i) {
    simulation.Step(1, 0);
  }
  const rollout_record record = simulation.reconciler().Rollouts(simulation.now()).front();
  EXPECT_EQ(record.state, rollout_state::kStopped);
  EXPECT_LE(record.failures, 2U + kFailureDomains - 1U);
  EXPECT_NE(record.reason.find("refused the order"), std::string::npos);

  // The failure count starts at zero for a new version.
  std::ranges::for_each(simulation.engines(),
                        [](fake_engine& engine) { engine.fails_loads = false; });
  simulation.reconciler().OnDocument(MakeDocument(3, "v3"));
  for (int i = 0; i < 800; ++i) {
    simulation.Step(1, 0);
  }
  EXPECT_TRUE(simulation.AllServe("v3"));
}

// Guards against a rollout that min_serving_share blocks forever without a reason in its record.
TEST(OrderReconciler, ReportsThatServingShareBlocksRollout) {
  rollout_simulation simulation(1, {});
  simulation.reconciler().OnDocument(MakeDocument(2, "v2", /*min_serving_share=*/1.0));
  for (int i = 0; i < 100; ++i) {
    simulation.Step(1, 0);
  }
  EXPECT_TRUE(simulation.AllServe("v1"));
  const rollout_record record = simulation.reconciler().Rollouts(simulation.now()).front();
  EXPECT_EQ(record.state, rollout_state::kRunning);
  EXPECT_NE(record.reason.find("min_serving_share"), std::string::npos);
}

// Guards against a new lease holder that restarts a rollout that its predecessor had stopped.
TEST(OrderReconciler, RestoredFailuresKeepTheRolloutStopped) {
  rollout_simulation simulation(1, {});
  simulation.reconciler().OnDocument(MakeDocument(2, "v2"));
  simulation.reconciler().RestoreFailures(
      {"quotes", "v2", rollout_state::kStopped, 0, kEngines, 2, "engine-1 refused the order"});
  for (int i = 0; i < 100; ++i) {
    simulation.Step(5, 0);
  }
  EXPECT_TRUE(simulation.AllServe("v1"));
}

// Guards against a reconciler that replaces its document by an older one.
TEST(OrderReconciler, IgnoresOlderDocuments) {
  rollout_simulation simulation(1, {});
  simulation.reconciler().OnDocument(MakeDocument(3, "v1"));
  simulation.reconciler().OnDocument(MakeDocument(2, "v0"));
  for (int i = 0; i < 100; ++i) {
    simulation.Step(1, 0);
  }
  EXPECT_TRUE(simulation.AllServe("v1"));
}

// Guards against a rollout record that a new lease holder cannot decode, and against decoding
// invalid text.
TEST(RolloutRecord, RoundTripsAndRejectsInvalidText) {
  const rollout_record record{"quotes", "v2", rollout_state::kStopped, 3, 12, 2, "out of memory"};
  EXPECT_EQ(rollout_record::Decode(record.Encode()), record);
  EXPECT_EQ(rollout_record::Decode("[]"), std::nullopt);
  EXPECT_EQ(rollout_record::Decode("{\"model\":1}"), std::nullopt);
}

}  // namespace
}  // namespace tarragon::control
