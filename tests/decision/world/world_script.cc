#include "decision/world/world_script.h"

#include <algorithm>
#include <ostream>

namespace tarragon::decision {

namespace {

using std::chrono::milliseconds;

std::int64_t RandomBetween(std::mt19937_64& random, std::int64_t low, std::int64_t high) {
  return std::uniform_int_distribution<std::int64_t>(low, high)(random);
}

bool OneIn(std::mt19937_64& random, int n) {
  return RandomBetween(random, 1, n) == 1;
}

}  // namespace

planned_request planned_request::FromBits(std::uint64_t bits) {
  std::mt19937_64 random(bits);
  planned_request plan;
  plan.start = milliseconds(RandomBetween(random, 0, 15000));
  plan.profile = static_cast<request_profile>(RandomBetween(random, 0, 5));
  plan.tokens = static_cast<std::uint32_t>(OneIn(random, 5) ? RandomBetween(random, 100, 400)
                                                            : RandomBetween(random, 0, 40));
  if (OneIn(random, 12)) {
    // Long enough to still run when the first entry stops waiting for the caller to reconnect.
    plan.tokens = static_cast<std::uint32_t>(RandomBetween(random, 1500, 3000));
  }
  plan.account = static_cast<std::uint32_t>(RandomBetween(random, 0, 2));
  plan.key = static_cast<std::uint32_t>(RandomBetween(random, 0, 5));
  plan.buffered_response = OneIn(random, 4);
  plan.crashes_endpoint = OneIn(random, 25) && plan.profile < request_profile::kRead;
  plan.deadline = milliseconds(RandomBetween(random, 500, 20000));
  if (OneIn(random, 3)) {
    plan.disconnects_after = milliseconds(RandomBetween(random, 1, 6000));
    plan.reconnects_after = milliseconds(OneIn(random, 4) ? 0 : RandomBetween(random, 1, 12000));
    plan.reconnects_twice = OneIn(random, 3);
  }
  return plan;
}

planned_fault planned_fault::FromBits(std::uint64_t bits) {
  std::mt19937_64 random(bits);
  planned_fault fault;
  fault.start = milliseconds(RandomBetween(random, 0, 20000));
  fault.kind =
      static_cast<fault_kind>(RandomBetween(random, 0, static_cast<int>(fault_kind::kCount) - 1));
  fault.target = static_cast<std::uint32_t>(RandomBetween(random, 0, 1000));
  fault.duration = milliseconds(RandomBetween(random, 20, 8000));
  return fault;
}

world_script world_script::Random(std::mt19937_64& random) {
  world_script script;
  script.seed = random();
  script.entries = static_cast<std::uint32_t>(RandomBetween(random, 1, 3));
  script.requests.resize(static_cast<std::size_t>(RandomBetween(random, 1, 120)));
  std::ranges::generate(script.requests, [&] { return planned_request::FromBits(random()); });
  script.faults.resize(static_cast<std::size_t>(RandomBetween(random, 0, 25)));
  std::ranges::generate(script.faults, [&] { return planned_fault::FromBits(random()); });
  return script;
}

std::ostream& operator<<(std::ostream& out, const planned_request& request) {
  return out << "request{start=" << request.start.count()
             << "ms profile=" << static_cast<int>(request.profile) << " tokens=" << request.tokens
             << " key=" << request.key << " buffered_response=" << request.buffered_response
             << " crashes_endpoint=" << request.crashes_endpoint
             << " deadline=" << request.deadline.count()
             << "ms disconnects_after=" << request.disconnects_after.count()
             << "ms reconnects_after=" << request.reconnects_after.count()
             << "ms reconnects_twice=" << request.reconnects_twice << "}";
}

std::ostream& operator<<(std::ostream& out, const planned_fault& fault) {
  return out << "fault{start=" << fault.start.count() << "ms kind=" << static_cast<int>(fault.kind)
             << " target=" << fault.target << " duration=" << fault.duration.count() << "ms}";
}

}  // namespace tarragon::decision
