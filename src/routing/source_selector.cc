#include "tarragon/routing/source_selector.h"

#include <algorithm>
#include <iterator>
#include <utility>
#include <vector>

#include "tarragon/base/invariant.h"

namespace tarragon::routing {

source_selector::source_selector(time_point now, std::uint64_t seed, selector_options options)
    : options_(options), random_(seed), started_at_(now) {}

duration source_selector::StaleAge() const {
  if (!plan_.is_relayed) {
    return options_.max_direct_age;
  }
  return options_.max_age +
         options_.age_per_level * static_cast<std::int64_t>(std::max<std::size_t>(plan_.depth, 1));
}

void source_selector::SetPlan(time_point now, relay_plan plan) {
  plan_ = std::move(plan);
  std::erase_if(failed_, [&](const auto& failed) { return !IsListed(failed.first); });
  if (source_ && !IsListed(*source_)) {
    source_.reset();
    ChooseSource(now);
  }
}

bool source_selector::follows_alternate() const {
  return source_ && std::ranges::find(plan_.alternates, *source_) != plan_.alternates.end();
}

bool source_selector::IsListed(const std::string& address) const {
  return std::ranges::find(plan_.sources, address) != plan_.sources.end() ||
         std::ranges::find(plan_.alternates, address) != plan_.alternates.end();
}

duration source_selector::Cooldown(std::uint32_t failures) {
  if (!loaded_) {
    return options_.start_cooldown;
  }
  constexpr std::uint32_t kMaxDoublings = 10;
  const duration full =
      std::min(options_.max_cooldown,
               options_.min_cooldown * (std::int64_t{1} << std::min(failures, kMaxDoublings)));
  // Jitter keeps the followers of a source that returns from connecting at the same moment.
  std::uniform_int_distribution<std::int64_t> jitter(full.count() / 2, full.count());
  return duration(jitter(random_));
}

void source_selector::GiveUpSource(time_point now, bool responds) {
  if (!source_) {
    return;
  }
  failed_source& failed = failed_[*source_];
  failed.failed_at = now;
  failed.retry_at = now + Cooldown(failed.failures);
  failed.failures = responds ? 0 : failed.failures + 1;
  source_.reset();
}

void source_selector::OnSourceFailed(time_point now) {
  GiveUpSource(now, false);
}

bool source_selector::AcceptsFirstRows(time_point now, duration age) const {
  return age <= StaleAge() || store_lost_ || now >= started_at_ + options_.start_patience;
}

void source_selector::OnSourceBehind(time_point now) {
  found_old_rows_ = true;
  GiveUpSource(now, true);
}

bool source_selector::IsUsable(time_point now, const std::string& address) const {
  const auto found = failed_.find(address);
  if (found == failed_.end()) {
    return true;
  }
  // The pause was chosen when another source may still have had newer rows.
  const bool is_stale_for_long =
      stale_since_ && now >= found->second.failed_at + options_.max_stale_cooldown;
  return found->second.retry_at <= now || is_stale_for_long;
}

void source_selector::ChooseSource(time_point now) {
  const auto usable = std::ranges::find_if(
      plan_.sources, [&](const std::string& address) { return IsUsable(now, address); });
  if (usable != plan_.sources.end()) {
    source_ = *usable;
    source_since_ = now;
  }
}

void source_selector::ChooseAnySource(time_point now) {
  std::vector<std::string> usable;
  const auto is_usable = [&](const std::string& address) { return IsUsable(now, address); };
  std::ranges::copy_if(plan_.sources, std::back_inserter(usable), is_usable);
  std::ranges::copy_if(plan_.alternates, std::back_inserter(usable), is_usable);
  const auto chosen = std::ranges::min_element(usable, {}, [&](const std::string& address) {
    const auto found = failed_.find(address);
    return found == failed_.end() ? time_point::min() : found->second.failed_at;
  });
  if (chosen != usable.end()) {
    source_ = *chosen;
    source_since_ = now;
  }
}

void source_selector::Update(time_point now, const source_view& view) {
  loaded_ = view.loaded;
  store_lost_ = view.store_lost;
  if (!view.store_lost && (plan_.reads_store || follows_alternate())) {
    source_.reset();
  }
  if (!view.store_lost && plan_.reads_store) {
    stale_since_.reset();
    reads_store_ = true;
    return;
  }
  const bool is_source_recent = view.source_age && *view.source_age <= StaleAge();
  if (source_ && view.loaded && is_source_recent) {
    failed_.erase(*source_);
    stale_since_.reset();
    // Calls to the store show when it serves this daemon again.
    reads_store_ = plan_.reads_store || follows_alternate();
    return;
  }
  // Another source would have to send the same from the beginning.
  const bool is_sending =
      source_ && view.source_sends && now < stale_since_.value_or(now) + options_.max_sending_time;
  if (follows_alternate() && view.source_age && !is_source_recent && !is_sending) {
    GiveUpSource(now, false);
  }
  if (source_ && !is_sending && now >= source_since_ + options_.source_timeout) {
    GiveUpSource(now, view.source_age.has_value());
  }
  const bool is_recent = view.loaded && view.age <= StaleAge();
  if (!source_ && view.store_lost && !is_recent) {
    ChooseAnySource(now);
  } else if (!source_) {
    ChooseSource(now);
  }
  if (is_recent) {
    // While it reads the store itself, the daemon keeps looking for a source.
    stale_since_.reset();
    reads_store_ = reads_store_ || !source_;
    return;
  }
  const time_point since = stale_since_.value_or(now);
  stale_since_ = since;
  if (is_sending) {
    return;
  }
  const bool waited = view.loaded ? !source_ || now >= since + options_.takeover_delay
                                  : found_old_rows_ || now >= started_at_ + options_.start_patience;
  reads_store_ = reads_store_ || waited;
}

void source_selector::Validate() const {
  TARRAGON_INVARIANT(!plan_.reads_store || !source_ || store_lost_,
                     "a reader that the store serves follows a daemon");
  TARRAGON_INVARIANT(!follows_alternate() || reads_store_,
                     "a daemon that follows an alternate has stopped calling the store");
}

}  // namespace tarragon::routing
