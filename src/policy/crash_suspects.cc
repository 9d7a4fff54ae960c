#include "tarragon/policy/crash_suspects.h"

#include <algorithm>

#include "tarragon/base/invariant.h"

namespace tarragon::policy {

namespace {

// An entry stops publishing its deaths this long before it forgets them, so that a late report
// does not start the memory of an entry that has already forgotten them anew.
constexpr duration kQuietBeforeExpiry = std::chrono::seconds(30);

}  // namespace

crash_suspects::crash_suspects(crash_suspect_options options) : options_(options) {}

std::uint32_t crash_suspects::Count(const suspect& state) {
  std::uint32_t deaths = state.own.deaths - state.own.cleared;
  for (const auto& [vm, count] : state.peers) {
    deaths += count.deaths - count.cleared;
  }
  return deaths;
}

crash_suspects::suspect& crash_suspects::Get(fingerprint content) {
  if (!suspects_.contains(content) && suspects_.size() >= options_.max_suspects) {
    EvictOldest();
  }
  return suspects_[content];
}

void crash_suspects::RecordDeath(time_point now, fingerprint content) {
  suspect& state = Get(content);
  state.own.deaths += 1;
  state.last_death = state.last_own_death = now;
}

void crash_suspects::RecordCompleted(fingerprint content) {
  const auto found = suspects_.find(content);
  if (found == suspects_.end()) {
    return;
  }
  suspect& state = found->second;
  state.own.cleared = state.own.deaths;
  for (auto& [vm, count] : state.peers) {
    count.cleared = count.deaths;
  }
}

void crash_suspects::Merge(time_point now,
                           std::string_view vm,
                           const std::vector<suspect_deaths>& reports) {
  for (const suspect_deaths& report : reports) {
    if (report.deaths == 0) {
      continue;
    }
    suspect& state = Get(report.content);
    auto peer = std::ranges::find(state.peers, vm, &peer_count::vm);
    if (peer == state.peers.end()) {
      peer = state.peers.insert(peer, {std::string(vm), {}});
    }
    if (report.deaths > peer->count.deaths) {
      peer->count.deaths = report.deaths;
      state.last_death = now;
    }
    const std::uint32_t cleared = std::min(report.cleared, peer->count.deaths);
    peer->count.cleared = std::max(peer->count.cleared, cleared);
  }
}

std::uint32_t crash_suspects::Deaths(fingerprint content) const {
  const auto found = suspects_.find(content);
  return found == suspects_.end() ? 0 : Count(found->second);
}

bool crash_suspects::IsRefused(fingerprint content) const {
  return Deaths(content) >= options_.max_deaths;
}

duration crash_suspects::RefusedFor(time_point now, fingerprint content) const {
  if (!IsRefused(content)) {
    return duration::zero();
  }
  return std::max(suspects_.at(content).last_death + options_.memory - now, duration::zero());
}

bool crash_suspects::MayRun(fingerprint content, endpoint_index endpoint) const {
  if (!IsSuspect(content)) {
    return true;
  }
  const auto runs_it = [content](const auto& running) { return running.second == content; };
  return !running_.contains(endpoint) && std::ranges::none_of(running_, runs_it);
}

bool crash_suspects::TryAssign(fingerprint content, endpoint_index endpoint) {
  if (!IsSuspect(content)) {
    return true;
  }
  if (!MayRun(content, endpoint)) {
    return false;
  }
  running_.emplace(endpoint, content);
  return true;
}

void crash_suspects::Release(fingerprint content, endpoint_index endpoint) {
  const auto found = running_.find(endpoint);
  if (found != running_.end() && found->second == content) {
    running_.erase(found);
  }
}

void crash_suspects::Expire(time_point now) {
  std::erase_if(suspects_, [&](const auto& known) {
    return now - known.second.last_death >= options_.memory;
  });
}

void crash_suspects::EvictOldest() {
  const auto oldest = std::ranges::min_element(
      suspects_, {}, [](const auto& known) { return known.second.last_death; });
  suspects_.erase(oldest);
}

std::vector<suspect_deaths> crash_suspects::LocalReports(time_point now,
                                                         std::size_t max_reports) const {
  struct dated_report {
    time_point last_death;
    suspect_deaths report;
  };
  std::vector<dated_report> dated;
  for (const auto& [content, state] : suspects_) {
    const bool is_fresh = now - state.last_own_death < options_.memory - kQuietBeforeExpiry;
    if (state.own.deaths > 0 && is_fresh) {
      dated.push_back({state.last_own_death, {content, state.own.deaths, state.own.cleared}});
    }
  }
  std::ranges::sort(dated, [](const dated_report& a, const dated_report& b) {
    return std::pair(b.last_death, a.report.content) < std::pair(a.last_death, b.report.content);
  });
  std::vector<suspect_deaths> reports;
  for (const dated_report& latest : dated) {
    if (reports.size() == max_reports) {
      break;
    }
    reports.push_back(latest.report);
  }
  return reports;
}

void crash_suspects::Validate() const {
  TARRAGON_INVARIANT(suspects_.size() <= options_.max_suspects, "more suspects than allowed");
  for (const auto& [content, state] : suspects_) {
    TARRAGON_INVARIANT(state.own.cleared <= state.own.deaths, "cleared more deaths than seen");
    for (const auto& [vm, count] : state.peers) {
      TARRAGON_INVARIANT(count.cleared <= count.deaths, "cleared more deaths than reported");
    }
  }
  for (const auto& assigned : running_) {
    const auto is_same = [&assigned](const auto& other) { return other.second == assigned.second; };
    TARRAGON_INVARIANT(std::ranges::count_if(running_, is_same) == 1, "suspect runs twice");
  }
}

}  // namespace tarragon::policy
