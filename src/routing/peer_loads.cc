#include "tarragon/routing/peer_loads.h"

#include <optional>
#include <ranges>
#include <tuple>
#include <unordered_map>

#include "tarragon/base/hash.h"

namespace tarragon::routing {

namespace {

constexpr double kPercent = 100;

/** @return the lower of two values, where zero means unknown. */
template <typename T>
T MinKnown(T a, T b) {
  return a == T{} || (b != T{} && b < a) ? b : a;
}

}  // namespace

void AddReport(endpoint_load_report& sum, const endpoint_load_report& report) {
  sum.load += report.load;
  sum.event_interval = MinKnown(sum.event_interval, report.event_interval);
  sum.min_slowness_percent = MinKnown(sum.min_slowness_percent, report.min_slowness_percent);
  sum.recent_sends += report.recent_sends;
  sum.limit = Latest(sum.limit, report.limit);
}

void SetPeerReport(time_point now, endpoint& known, const endpoint_load_report& sum) {
  known.peer_load = sum.load;
  known.event_interval.SetPeerEstimate(
      sum.event_interval.count() > 0 ? std::optional<duration>(sum.event_interval) : std::nullopt);
  known.slowness.SetPeerMinimum(sum.min_slowness_percent > 0
                                    ? std::optional(sum.min_slowness_percent / kPercent)
                                    : std::nullopt);
  known.limit.SetPeers(now, sum.limit, sum.recent_sends);
}

bool peer_loads::RecordReport(time_point now, const peer_report& report) {
  received_report& known = reports_[report.daemon];
  const auto age = [](const peer_report& r) { return std::tie(r.started_unix_ms, r.sequence); };
  if (!known.report.daemon.empty() && age(report) <= age(known.report)) {
    return false;
  }
  known = {report, now};
  return true;
}

void peer_loads::DropExpired(time_point now) {
  std::erase_if(reports_, [&](const auto& entry) {
    return entry.second.received_at + kReportLifetime < now;
  });
}

void peer_loads::Apply(time_point now, endpoint_registry& registry) const {
  std::unordered_map<std::uint64_t, endpoint_load_report> sums;
  for (const received_report& known : reports_ | std::views::values) {
    for (const endpoint_load_report& reported : known.report.endpoints) {
      endpoint_load_report& sum = sums[reported.endpoint_hash];
      AddReport(sum, reported);
    }
  }
  for (const auto& [id, known] : registry.all()) {
    const auto found = sums.find(Hash64(id));
    const endpoint_load_report sum = found == sums.end() ? endpoint_load_report{} : found->second;
    SetPeerReport(now, *known, sum);
  }
}

}  // namespace tarragon::routing
