#include "tarragon/routing/rate_limit.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <limits>
#include <utility>
#include <vector>

namespace tarragon::routing {

namespace {

std::size_t CountSince(time_point start, const std::deque<time_point>& sends) {
  return static_cast<std::size_t>(sends.end() - std::ranges::upper_bound(sends, start));
}

}  // namespace

limit_statement Latest(const limit_statement& a, const limit_statement& b) {
  if (a.revision != b.revision) {
    return a.revision > b.revision ? a : b;
  }
  return !b.per_second || (a.per_second && *a.per_second <= *b.per_second) ? a : b;
}

limit_change rate_limit::RecordAnswer(std::optional<double> per_second) {
  const std::optional<double> before = statement_.per_second;
  const bool is_same = before && per_second
                           ? std::abs(*before - *per_second) <= kMinRelativeChange * *before
                           : before.has_value() == per_second.has_value();
  if (is_same) {
    return limit_change::kNone;
  }
  statement_ = {statement_.revision + 1, per_second};
  if (!per_second) {
    return limit_change::kEnded;
  }
  return before ? limit_change::kChanged : limit_change::kBegun;
}

void rate_limit::DropOld(time_point now, std::deque<time_point>& sends) {
  while (!sends.empty() && sends.front() + kMaxWindow <= now) {
    sends.pop_front();
  }
}

void rate_limit::RecordSend(time_point now) {
  DropOld(now, sends_);
  sends_.push_back(now);
}

void rate_limit::SetPeers(time_point now, const limit_statement& statement, std::uint32_t sends) {
  statement_ = Latest(statement_, statement);
  DropOld(now, peer_sends_);
  const std::size_t known = PeerSends(now);
  if (sends > known) {
    peer_sends_.insert(peer_sends_.end(), sends - known, now);
  }
}

double rate_limit::bound::Allowed(limit_use use) const {
  const double allowed = std::max(1.0, per_second * std::chrono::duration<double>(window).count());
  return use == limit_use::kBegunStream ? (1 + kBegunStreamShare) * allowed + kBegunStreams
                                        : allowed;
}

std::optional<rate_limit::bound> rate_limit::StatedBound() const {
  if (!statement_.per_second) {
    return std::nullopt;
  }
  const double per_second = std::max(kMinPerSecond, *statement_.per_second);
  // The window is long enough for one request.
  const std::chrono::duration<double> for_one_request(1 / per_second);
  return bound{per_second,
               std::clamp<duration>(std::chrono::duration_cast<duration>(for_one_request),
                                    kMinWindow, kMaxWindow)};
}

std::optional<rate_limit::bound> rate_limit::ColdBound() const {
  return cold_per_second_
             ? std::optional(bound{std::max(kMinPerSecond, *cold_per_second_), kColdWindow})
             : std::nullopt;
}

duration rate_limit::Window() const {
  const std::optional<bound> stated = StatedBound();
  return stated ? stated->window : kMinWindow;
}

std::size_t rate_limit::PeerSends(time_point now) const {
  return CountSince(now - Window(), peer_sends_);
}

std::uint32_t rate_limit::OwnSends(time_point now) const {
  return is_limited() ? static_cast<std::uint32_t>(CountSince(now - Window(), sends_)) : 0;
}

double rate_limit::Room(time_point now, const bound& in_force, limit_use use) const {
  const time_point start = now - in_force.window;
  return in_force.Allowed(use) - static_cast<double>(CountSince(start, sends_)) -
         static_cast<double>(CountSince(start, peer_sends_));
}

double rate_limit::Room(time_point now, limit_use use) const {
  double room = std::numeric_limits<double>::infinity();
  for (const std::optional<bound>& in_force : {StatedBound(), ColdBound()}) {
    room = in_force ? std::min(room, Room(now, *in_force, use)) : room;
  }
  return room;
}

duration rate_limit::UnusedRoomAge(time_point now, const bound& in_force, limit_use use) const {
  std::vector<time_point> sends;
  sends.reserve(sends_.size() + peer_sends_.size());
  std::ranges::merge(sends_, peer_sends_, std::back_inserter(sends));
  if (sends.empty()) {
    return kMaxWindow;
  }
  // Room came when the last of the sends in excess left the window.
  const auto left = static_cast<std::size_t>(in_force.Allowed(use)) - 1;
  const time_point since =
      sends.size() <= left
          ? sends.back()
          : std::max(sends.back(), sends[sends.size() - 1 - left] + in_force.window);
  return std::max(duration::zero(), now - since);
}

duration rate_limit::UnusedRoomAge(time_point now, limit_use use) const {
  duration age = kMaxWindow;
  for (const std::optional<bound>& in_force : {StatedBound(), ColdBound()}) {
    age = in_force ? std::min(age, UnusedRoomAge(now, *in_force, use)) : age;
  }
  return age;
}

duration rate_limit::TimeToRoom(time_point now, limit_use use) const {
  duration time = duration::zero();
  for (const std::optional<bound>& in_force : {StatedBound(), ColdBound()}) {
    const double missing = in_force ? 1 - Room(now, *in_force, use) : 0;
    if (missing > 0) {
      const std::chrono::duration<double> wait(missing / in_force->per_second);
      time = std::max(time, std::chrono::ceil<duration>(wait));
    }
  }
  return time;
}

}  // namespace tarragon::routing
