#include "tarragon/decision/request_engine.h"

#include <fmt/format.h>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

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

// Guards against a broken promise of section 2 of the design under any mix of faults.
RC_GTEST_PROP(RequestEngine, KeepsPromisesWithOneEntry, ()) {
  CheckRun(GenScript(1), {});
}

// Guards against entries that break promises only together: claims, resumes elsewhere, gossip.
RC_GTEST_PROP(RequestEngine, KeepsPromisesWithSeveralEntries, ()) {
  CheckRun(GenScript(3), {});
}

}  // namespace tarragon::decision
