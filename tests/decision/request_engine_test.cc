#include "tarragon/decision/request_engine.h"

#include <fmt/format.h>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <random>
#include <vector>

#include "decision/world/fake_world.h"

namespace tarragon::decision {

namespace {

template <typename Planned>
rc::Gen<std::vector<Planned>> GenPlans() {
  return rc::gen::container<std::vector<Planned>>(
      rc::gen::map(rc::gen::noShrink(rc::gen::arbitrary<std::uint64_t>()), &Planned::FromBits));
}

world_script GenScript(std::uint32_t max_entries) {
  world_script script;
  script.seed = *rc::gen::noShrink(rc::gen::arbitrary<std::uint64_t>());
  script.entries = *rc::gen::inRange<std::uint32_t>(1, max_entries + 1);
  script.requests = *GenPlans<planned_request>();
  script.faults = *GenPlans<planned_fault>();
  return script;
}

void CheckRun(const world_script& script, const engine_options& options) {
  fake_world world(script, options);
  world.Run();
  if (!world.violations().empty()) {
    RC_FAIL(fmt::format("{}", fmt::join(world.violations(), "\n")));
  }
}

}  // namespace

// Guards against violations of the guarantees in section 2 of the design under any mix of faults.
RC_GTEST_PROP(RequestEngine, KeepsGuaranteesWithOneEntry, ()) {
  CheckRun(GenScript(1), {});
}

// Guards against violations that need several entries: claims, resumes at another entry, gossip.
RC_GTEST_PROP(RequestEngine, KeepsGuaranteesWithSeveralEntries, ()) {
  CheckRun(GenScript(3), {});
}

// Guards against guarantees that depend on a policy; they must hold with the baseline policies too.
RC_GTEST_PROP(RequestEngine, KeepsGuaranteesWithBaselinePolicies, ()) {
  engine_options options;
  options.selector =
      *rc::gen::element(selector_choice::kRoundRobin, selector_choice::kLeastReportedLoad);
  options.fair_queue = options.memory_admission = options.eject_outliers = false;
  options.isolate_suspects = options.hedge_reads = options.limit_concurrency = false;
  options.demote_long_requests = false;
  CheckRun(GenScript(2), options);
}

// Guards against decisions that depend on anything other than events, times and seed.
TEST(RequestEngine, SameScriptGivesTheSameRun) {
  std::mt19937_64 random(7);
  const world_script script = world_script::Random(random);
  fake_world first(script, {});
  fake_world second(script, {});
  first.Run();
  second.Run();
  EXPECT_EQ(first.events(), second.events());
  EXPECT_EQ(first.completed(), second.completed());
}

}  // namespace tarragon::decision
