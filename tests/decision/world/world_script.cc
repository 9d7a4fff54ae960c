#include "decision/world/world_script.h"

#include <algorithm>
#include <ostream>

namespace tarragon::decision {

namespace {

using std::chrono::milliseconds;

std::int64_t Between(std::mt19937_64& random, std::int64_t low, std::int64_t high) {
  return std::uniform_int_distribution<std::int64_t>(low, high)(random);
}

bool OneIn(std::mt19937_64& random, int n) {
  return Between(random, 1, n) == 1;
}

}  // namespace

planned_request planned_request::FromBits(std::uint64_t bits) {
  std::mt19937_64 random(bits);
  planned_request plan;
  plan.at = milliseconds(Between(random, 0, 15000));
  plan.wish = static_cast<caller_wish>(Between(random, 0, 5));
  plan.tokens = static_cast<std::uint32_t>(OneIn(random, 5) ? Between(random, 100, 400)
                                                            : Between(random, 0, 40));
  if (OneIn(random, 12)) {
    // Long enough to be running when its first entry gives up on the caller.
    plan.tokens = static_cast<std::uint32_t>(Between(random, 1500, 3000));
  }
  plan.account = static_cast<std::uint32_t>(Between(random, 0, 2));
  plan.key = static_cast<std::uint32_t>(Between(random, 0, 5));
  plan.whole_answer = OneIn(random, 4);
  plan.crashes = OneIn(random, 25) && plan.wish < caller_wish::kRead;
  plan.deadline = milliseconds(Between(random, 500, 20000));
  if (OneIn(random, 3)) {
    plan.leaves_after = milliseconds(Between(random, 1, 6000));
    plan.returns_after = milliseconds(OneIn(random, 4) ? 0 : Between(random, 1, 12000));
    plan.returns_twice = OneIn(random, 3);
  }
  return plan;
}

planned_fault planned_fault::FromBits(std::uint64_t bits) {
  std::mt19937_64 random(bits);
  planned_fault fault;
  fault.at = milliseconds(Between(random, 0, 20000));
  fault.kind =
      static_cast<fault_kind>(Between(random, 0, static_cast<int>(fault_kind::kCount) - 1));
  fault.target = static_cast<std::uint32_t>(Between(random, 0, 1000));
  fault.lasts = milliseconds(Between(random, 20, 8000));
  return fault;
}

world_script world_script::Random(std::mt19937_64& random) {
  world_script script;
  script.seed = random();
  script.entries = static_cast<std::uint32_t>(Between(random, 1, 3));
  script.requests.resize(static_cast<std::size_t>(Between(random, 1, 120)));
  std::ranges::generate(script.requests, [&] { return planned_request::FromBits(random()); });
  script.faults.resize(static_cast<std::size_t>(Between(random, 0, 25)));
  std::ranges::generate(script.faults, [&] { return planned_fault::FromBits(random()); });
  return script;
}

std::ostream& operator<<(std::ostream& out, const planned_request& request) {
  return out << "request{at=" << request.at.count() << "ms wish=" << static_cast<int>(request.wish)
             << " tokens=" << request.tokens << " key=" << request.key
             << " whole=" << request.whole_answer << " crashes=" << request.crashes
             << " deadline=" << request.deadline.count()
             << "ms leaves_after=" << request.leaves_after.count()
             << "ms returns_after=" << request.returns_after.count()
             << "ms twice=" << request.returns_twice << "}";
}

std::ostream& operator<<(std::ostream& out, const planned_fault& fault) {
  return out << "fault{at=" << fault.at.count() << "ms kind=" << static_cast<int>(fault.kind)
             << " target=" << fault.target << " lasts=" << fault.lasts.count() << "ms}";
}

}  // namespace tarragon::decision
