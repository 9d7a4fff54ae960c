#include "tarragon/routing/overload_policy.h"

#include <algorithm>

namespace tarragon::routing {

namespace {

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

constexpr double kShortShare = 0.95;
constexpr double kLongShare = 0.85;
constexpr double kLateShare = 0.75;

}  // namespace

overload_decision DecideWithoutCapacity(const waiting_request& request, double point) {
  using std::chrono::duration_cast;
  using std::chrono::milliseconds;
  if (request.age >= kMaxWaitInObjectives * request.latency_objective) {
    const double objectives =
        kMinRetryInObjectives + (kMaxRetryInObjectives - kMinRetryInObjectives) * point;
    const auto wanted = duration_cast<duration>(objectives * request.latency_objective);
    return refuse_for_overload{duration_cast<milliseconds>(
        std::min<duration>(wanted, request.remaining / kRemainingPerRetry))};
  }
  return wait_for_capacity{
      duration_cast<milliseconds>(kMinPollDelay + (kMaxPollDelay - kMinPollDelay) * point)};
}

double AllowedMemoryShare(const waiting_request& request) {
  const double share = request.is_long ? kLongShare : kShortShare;
  return request.age > request.latency_objective ? std::min(share, kLateShare) : share;
}

}  // namespace tarragon::routing
