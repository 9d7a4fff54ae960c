#include "tarragon/routing/used_endpoints.h"

#include <algorithm>
#include <functional>
#include <iterator>
#include <ranges>

namespace tarragon::routing {

bool HasOwnReport(time_point now, const endpoint& known) {
  return known.own_load != endpoint_load{} || known.event_interval.OwnEstimate() ||
         known.slowness.OwnMinimum() || known.limit.statement().revision > 0 ||
         known.limit.OwnSends(now) > 0;
}

void used_endpoints::Add(const endpoint_ptr& target) {
  const auto position = std::ranges::lower_bound(endpoints_, target);
  if (position == endpoints_.end() || *position != target) {
    endpoints_.insert(position, target);
  }
}

const std::vector<endpoint_ptr>& used_endpoints::Collect(time_point now,
                                                         const endpoint_registry& registry) {
  if (registry.all().size() <= kMaxScannedEachTime || now >= next_scan_) {
    next_scan_ = now + kScanInterval;
    Scan(now, registry);
  } else {
    std::erase_if(endpoints_, [](const endpoint_ptr& known) { return !known->listed; });
  }
  return endpoints_;
}

void used_endpoints::Scan(time_point now, const endpoint_registry& registry) {
  endpoints_.clear();
  std::ranges::copy_if(registry.all() | std::views::values, std::back_inserter(endpoints_),
                       [now](const endpoint_ptr& known) { return HasOwnReport(now, *known); });
  std::ranges::sort(endpoints_);
}

}  // namespace tarragon::routing
