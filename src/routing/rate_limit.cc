#include "tarragon/routing/rate_limit.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace tarragon::routing {

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

void rate_limit::RecordSend(time_point now) {
  while (!sends_.empty() && sends_.front() + kMaxWindow <= now) {
    sends_.pop_front();
  }
  sends_.push_back(now);
}

void rate_limit::SetPeers(time_point now, const limit_statement& statement, std::uint32_t sends) {
  statement_ = Latest(statement_, statement);
  peer_sends_ = sends;
  if (sends >= PeerSends(now)) {
    peak_peer_sends_ = sends;
    peak_at_ = now;
  }
}

double rate_limit::Rate() const {
  return std::max(kMinPerSecond, statement_.per_second.value_or(kMinPerSecond));
}

duration rate_limit::Window() const {
  const std::chrono::duration<double> for_one_request(1 / Rate());
  return std::clamp<duration>(std::chrono::duration_cast<duration>(for_one_request), kMinWindow,
                              kMaxWindow);
}

double rate_limit::PeerSends(time_point now) const {
  const double passed = std::chrono::duration<double>(now - peak_at_) / Window();
  return std::max<double>(peer_sends_, peak_peer_sends_ * std::max(0.0, 1 - passed));
}

std::uint32_t rate_limit::OwnSends(time_point now) const {
  if (!is_limited()) {
    return 0;
  }
  const duration window = Window();
  return static_cast<std::uint32_t>(
      std::ranges::count_if(sends_, [&](time_point sent) { return sent + window > now; }));
}

duration rate_limit::TimeToRoom(time_point now) const {
  if (!is_limited()) {
    return duration::zero();
  }
  const double allowed = std::max(1.0, Rate() * std::chrono::duration<double>(Window()).count());
  const double excess = OwnSends(now) + PeerSends(now) + 1 - allowed;
  if (excess <= 0) {
    return duration::zero();
  }
  return std::chrono::ceil<duration>(std::chrono::duration<double>(excess / Rate()));
}

}  // namespace tarragon::routing
