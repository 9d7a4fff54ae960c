#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <chrono>
#include <string>
#include <tuple>
#include <variant>
#include <vector>

#include "tarragon/routing/endpoint_picker.h"
#include "tarragon/routing/endpoint_registry.h"
#include "tarragon/routing/overload_policy.h"

namespace tarragon::routing {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kObjective{400};
constexpr milliseconds kDeadline{5000};
constexpr int kEndpoints = 3;
constexpr time_point kStart{std::chrono::seconds(100)};

endpoint_entry Entry(int number, bool leaving) {
  endpoint_entry entry;
  entry.id = std::to_string(number);
  entry.service = "s";
  entry.address = "10.0.0.1:" + std::to_string(80 + number);
  entry.slots = 4;
  entry.leaving = leaving;
  entry.started_unix_ms = 1;
  return entry;
}

/** What makes an endpoint unavailable at some time of the play. */
enum class event_kind : int { kRowLeaves, kSaysLeaving, kPauses, kLimits, kCools, kEndsCooldown };
constexpr int kEventKinds = 6;

struct event {
  milliseconds at;
  event_kind kind;
  int endpoint;
  milliseconds time;
};

class unavailable_service final {
 public:
  unavailable_service() {
    for (int number = 0; number < kEndpoints; ++number) {
      registry_.Put(kStart, 1, Entry(number, false));
    }
  }

  void Apply(time_point now, const event& happened) {
    const endpoint_ptr target = registry_.Find(std::to_string(happened.endpoint));
    switch (happened.kind) {
      case event_kind::kRowLeaves:
        registry_.Put(now, 2, Entry(happened.endpoint, true));
        break;
      case event_kind::kSaysLeaving:
        registry_.MarkLeavingByResponse(now, target);
        break;
      case event_kind::kPauses:
        target->pause.Record(now, happened.time);
        break;
      case event_kind::kLimits:
        target->limit.RecordAnswer(0.5);
        break;
      case event_kind::kCools:
        target->cooldown_until = now + happened.time;
        break;
      case event_kind::kEndsCooldown:
        target->cooldown_until = now;
        break;
    }
    registry_.Validate();
  }

  pick_result Pick(time_point now) const {
    pick_request request;
    request.service = "s";
    return endpoint_picker().Pick(now, registry_, request);
  }

 private:
  endpoint_registry registry_;
};

/** Plays a request from `arrival` on. @return its age when it is sent or refused. */
duration PlayRequest(unavailable_service& service,
                     const std::vector<event>& events,
                     milliseconds arrival,
                     double point) {
  auto next = events.begin();
  for (time_point now = kStart + arrival;;) {
    for (; next != events.end() && kStart + next->at <= now; ++next) {
      service.Apply(kStart + next->at, *next);
    }
    const waiting_request request{.age = now - kStart - arrival,
                                  .latency_objective = kObjective,
                                  .remaining = kDeadline - (now - kStart - arrival)};
    const pick_result pick = service.Pick(now);
    if (pick.chosen) {
      RC_ASSERT(pick.chosen->accepts_work());
      RC_ASSERT(!pick.chosen->pause.IsPaused(now));
      return request.age;
    }
    const overload_decision decision = pick.time_to_room
                                           ? DecideWithoutRoom(request, *pick.time_to_room, point)
                                           : DecideWithoutEndpoint(pick, request, point);
    if (const auto* refusal = std::get_if<refuse_for_overload>(&decision)) {
      RC_ASSERT(refusal->retry_after > milliseconds(0));
      RC_ASSERT(refusal->retry_after <= kDeadline / 3);
      return request.age;
    }
    const milliseconds delay = std::get<wait_for_capacity>(decision).delay;
    RC_ASSERT(delay > milliseconds(0));
    now += delay;
  }
}

// Guards against a request that waits for ever, or reaches an endpoint which wants none, while the
// endpoints of its service leave, pause, name limits and cool down in any order.
RC_GTEST_PROP(UnavailableServiceTest, RequestsAreSentOrRefusedInTime, ()) {
  std::vector<event> events;
  for (int i = *rc::gen::inRange(0, 16); i > 0; --i) {
    events.push_back({milliseconds(*rc::gen::inRange(0, 1000)),
                      static_cast<event_kind>(*rc::gen::inRange(0, kEventKinds)),
                      *rc::gen::inRange(0, kEndpoints), milliseconds(*rc::gen::inRange(0, 2000))});
  }
  std::ranges::stable_sort(events, {}, &event::at);
  unavailable_service service;
  const milliseconds arrival(*rc::gen::inRange(0, 1000));
  const double point = *rc::gen::inRange(0, 1000) / 1000.0;
  RC_ASSERT(PlayRequest(service, events, arrival, point) <= kObjective);
}

}  // namespace
}  // namespace tarragon::routing
