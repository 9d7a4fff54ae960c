#include "tarragon/routing/evacuation_list.h"

#include <algorithm>
#include <ranges>
#include <utility>

#include "tarragon/base/invariant.h"

namespace tarragon::routing {

namespace {

/** Domains beyond this number are kept only while they are evacuated. */
constexpr std::size_t kMaxOrders = 1000;

}  // namespace

bool evacuation_list::Begin(const std::string& failure_domain, const store_version& row_version) {
  order& known = orders_[failure_domain];
  if (known.version >= row_version) {
    return false;
  }
  known.version = row_version;
  if (known.is_evacuated) {
    return false;
  }
  known.is_evacuated = true;
  ++evacuated_count_;
  LimitSize();
  return true;
}

bool evacuation_list::End(const std::string& failure_domain, const store_version& row_version) {
  order& known = orders_[failure_domain];
  // A read of the same version as the row that lacks the row has seen its deletion.
  if (known.version > row_version) {
    return false;
  }
  known.version = row_version;
  const bool was_evacuated = known.is_evacuated;
  known.is_evacuated = false;
  evacuated_count_ -= was_evacuated ? 1 : 0;
  LimitSize();
  return was_evacuated;
}

std::vector<std::string> evacuation_list::EndUnlisted(const store_version& version,
                                                      const std::vector<std::string>& listed) {
  std::vector<std::string> ended;
  for (const auto& [failure_domain, known] : orders_) {
    const bool is_listed = std::ranges::find(listed, failure_domain) != listed.end();
    if (known.is_evacuated && !is_listed && known.version <= version) {
      ended.push_back(failure_domain);
    }
  }
  std::ranges::for_each(ended,
                        [&](const std::string& failure_domain) { End(failure_domain, version); });
  return ended;
}

bool evacuation_list::IsEvacuated(std::string_view failure_domain) const {
  const auto found = orders_.find(failure_domain);
  return found != orders_.end() && found->second.is_evacuated;
}

void evacuation_list::LimitSize() {
  if (orders_.size() <= kMaxOrders) {
    return;
  }
  const auto oldest = std::ranges::min_element(orders_, {}, [](const auto& entry) {
    return std::pair(entry.second.is_evacuated, entry.second.version);
  });
  if (!oldest->second.is_evacuated) {
    orders_.erase(oldest);
  }
}

void evacuation_list::Validate() const {
  const auto evacuated = std::ranges::count_if(orders_ | std::views::values, &order::is_evacuated);
  TARRAGON_INVARIANT(static_cast<std::size_t>(evacuated) == evacuated_count_,
                     "the number of evacuated failure domains is wrong");
}

}  // namespace tarragon::routing
