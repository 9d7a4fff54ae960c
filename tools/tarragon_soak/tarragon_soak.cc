#include <fmt/format.h>
#include <gflags/gflags.h>

#include <chrono>
#include <cstdint>
#include <cstdio>
#include <random>

#include "decision/world/fake_world.h"

DEFINE_uint64(seed, 1, "seed of the generator that draws the seed of each run");
DEFINE_double(minutes, 1, "minutes during which new runs are started");
DEFINE_uint64(only, 0, "if not 0, executes only the run with this seed");

namespace tarragon::decision {
namespace {

/** Totals over all runs. */
struct soak_totals {
  std::uint64_t runs = 0;
  std::uint64_t events = 0;
  std::uint64_t completed = 0;
  std::uint64_t failed = 0;
};

void ExecuteRun(std::uint64_t run_seed, soak_totals& totals) {
  std::mt19937_64 random(run_seed);
  fake_world world(world_script::Random(random), {});
  world.Run();
  totals.runs += 1;
  totals.events += world.events();
  totals.completed += world.completed();
  if (world.violations().empty()) {
    return;
  }
  totals.failed += 1;
  fmt::print("failed: --only={}\n", run_seed);
  for (const std::string& violation : world.violations()) {
    fmt::print("  {}\n", violation);
  }
  std::fflush(stdout);
}

int Soak() {
  soak_totals totals;
  if (FLAGS_only != 0) {
    ExecuteRun(FLAGS_only, totals);
    return totals.failed == 0 ? 0 : 1;
  }
  std::mt19937_64 seeds(FLAGS_seed);
  const auto end = std::chrono::steady_clock::now() +
                   std::chrono::duration<double, std::ratio<60>>(FLAGS_minutes);
  while (std::chrono::steady_clock::now() < end) {
    ExecuteRun(seeds(), totals);
  }
  fmt::print("seed={} runs={} events={} completed={} failed={}\n", FLAGS_seed, totals.runs,
             totals.events, totals.completed, totals.failed);
  return totals.failed == 0 ? 0 : 1;
}

}  // namespace
}  // namespace tarragon::decision

int main(int argc, char** argv) {
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  return tarragon::decision::Soak();
}
