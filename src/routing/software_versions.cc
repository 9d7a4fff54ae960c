#include "tarragon/routing/software_versions.h"

#include <algorithm>
#include <iterator>
#include <ranges>

#include "tarragon/base/invariant.h"

namespace tarragon::routing {

void software_versions::SetServices(std::set<std::string, std::less<>> services) {
  if (services_ != services) {
    services_ = std::move(services);
    has_changed_ = true;
  }
}

void software_versions::OnAnnounced(time_point now, const software_version& announced) {
  has_changed_ = announced_.try_emplace(announced, now).second || has_changed_;
}

void software_versions::OnWithdrawn(const software_version& withdrawn) {
  has_changed_ = announced_.erase(withdrawn) > 0 || has_changed_;
}

void software_versions::Apply(time_point now, const endpoint_registry& endpoints) {
  if (has_changed_ || applied_revision_ != endpoints.list_revision()) {
    has_changed_ = false;
    applied_revision_ = endpoints.list_revision();
    listed_.clear();
    for (const endpoint_ptr& known : endpoints.all() | std::views::values) {
      const software_version version{known->entry.service, known->entry.software_version};
      const bool is_tracked = HasResumableStreams(version.service);
      known->awaits_announcement = is_tracked && !announced_.contains(version);
      if (is_tracked) {
        listed_.insert(version);
      }
    }
  }
  for (auto& [version, listed_at] : announced_) {
    // Nothing follows from an old list.
    if (listed_.contains(version) || endpoints.is_store_unavailable()) {
      listed_at = now;
    }
  }
}

std::vector<software_version> software_versions::Unannounced() const {
  std::vector<software_version> missing;
  std::ranges::copy_if(listed_, std::back_inserter(missing),
                       [&](const software_version& known) { return !announced_.contains(known); });
  return missing;
}

std::vector<software_version> software_versions::Expired(time_point now) const {
  std::vector<software_version> expired;
  for (const auto& [version, listed_at] : announced_) {
    if (listed_at + kRetention <= now) {
      expired.push_back(version);
    }
  }
  return expired;
}

std::vector<software_version> software_versions::Known(std::string_view service) const {
  std::set<software_version> known = listed_;
  std::ranges::copy(announced_ | std::views::keys, std::inserter(known, known.end()));
  std::vector<software_version> versions;
  std::ranges::copy_if(known, std::back_inserter(versions),
                       [&](const software_version& version) { return version.service == service; });
  return versions;
}

void software_versions::Validate() const {
  TARRAGON_INVARIANT(std::ranges::all_of(listed_,
                                         [&](const software_version& known) {
                                           return HasResumableStreams(known.service);
                                         }),
                     "a listed version belongs to a service without resumable streams");
}

}  // namespace tarragon::routing
