#include "tarragon/routing/overload_policy.h"

#include <algorithm>

namespace tarragon::routing {

namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

/** Time between two looks at the loads; generations end every 20 to 50 ms in a busy fleet. */
constexpr std::chrono::milliseconds kMinPollDelay{25};
constexpr std::chrono::milliseconds kMaxPollDelay{75};

/** Wait, in latency objectives, after which a request is refused. */
constexpr int kMaxWaitInObjectives = 3;
/** The caller returns after half to two objectives: a backlog of seconds has then shrunk. */
constexpr double kMinRetryInObjectives = 0.5;
constexpr double kMaxRetryInObjectives = 2;
/** Callers wait at most a third of the time that they have left. */
constexpr int kRemainingPerRetry = 3;

/** A request that waits longer for room would miss its objective in the end. */
constexpr double kMaxRoomWaitInObjectives = 0.5;
constexpr std::chrono::milliseconds kMinRoomPollDelay{10};

/** Range over which requests are spread that wait for the end of the same pause. */
constexpr std::chrono::milliseconds kMaxPauseSpread{200};
/** Interval between attempts to pick an endpoint while none is available. */
constexpr std::chrono::milliseconds kEndpointPollDelay{50};
/** A replacement is listed within about this time. */
constexpr std::chrono::milliseconds kReplacementTime{400};

constexpr double kShortShare = 0.95;
constexpr double kLongShare = 0.85;
constexpr double kLateShare = 0.75;

/** @param min_retry_after time before which another try would be refused too. */
refuse_for_overload Refuse(const waiting_request& request, duration min_retry_after, double point) {
  const double objectives =
      kMinRetryInObjectives + (kMaxRetryInObjectives - kMinRetryInObjectives) * point;
  const auto wanted =
      min_retry_after + duration_cast<duration>(objectives * request.latency_objective);
  return {duration_cast<milliseconds>(
      std::min<duration>(wanted, request.remaining / kRemainingPerRetry))};
}

}  // namespace

overload_decision DecideWithoutCapacity(const waiting_request& request, double point) {
  if (request.age >= kMaxWaitInObjectives * request.latency_objective) {
    return Refuse(request, duration::zero(), point);
  }
  return wait_for_capacity{
      duration_cast<milliseconds>(kMinPollDelay + (kMaxPollDelay - kMinPollDelay) * point)};
}

overload_decision DecideWithoutRoom(const waiting_request& request,
                                    duration time_to_room,
                                    double point) {
  const double max_objectives = request.pause ? kMaxWaitInObjectives : kMaxRoomWaitInObjectives;
  const duration waited = request.pause.value_or(request.age);
  if (waited + time_to_room > max_objectives * request.latency_objective) {
    return Refuse(request, time_to_room, point);
  }
  const auto poll_delay =
      duration_cast<duration>(kMinPollDelay + (kMaxPollDelay - kMinPollDelay) * point);
  // Room that this request has left to others is gone before the daemons hear of it.
  const duration delay =
      time_to_room > duration::zero()
          ? std::max<duration>(kMinRoomPollDelay, std::min(poll_delay, time_to_room))
          : poll_delay;
  return wait_for_capacity{duration_cast<milliseconds>(delay)};
}

overload_decision DecideDuringPause(const waiting_request& request,
                                    duration time_to_end,
                                    double point) {
  const duration waited = request.pause.value_or(request.age);
  const double max_objectives = request.pause ? kMaxWaitInObjectives : kMaxRoomWaitInObjectives;
  const auto max_wait =
      std::min(duration_cast<duration>(max_objectives * request.latency_objective) - waited,
               request.remaining);
  if (time_to_end >= max_wait) {
    return Refuse(request, time_to_end, point);
  }
  const duration spread = std::min<duration>(kMaxPauseSpread, max_wait - time_to_end);
  return wait_for_capacity{
      std::chrono::ceil<milliseconds>(time_to_end + duration_cast<duration>(spread * point))};
}

overload_decision DecideWithoutEndpoint(const pick_result& pick,
                                        const waiting_request& request,
                                        double point) {
  if (pick.all_leave) {
    return Refuse(request, kReplacementTime, point);
  }
  if (pick.time_to_end_of_pause) {
    return DecideDuringPause(request, *pick.time_to_end_of_pause, point);
  }
  const double max_objectives = request.pause ? kMaxWaitInObjectives : kMaxRoomWaitInObjectives;
  if (request.pause.value_or(request.age) >=
      duration_cast<duration>(max_objectives * request.latency_objective)) {
    return refuse_for_overload{kReplacementTime};
  }
  return wait_for_capacity{kEndpointPollDelay};
}

double AllowedMemoryShare(const waiting_request& request) {
  const double share = request.is_long ? kLongShare : kShortShare;
  return request.age > request.latency_objective ? std::min(share, kLateShare) : share;
}

}  // namespace tarragon::routing
