#include "tarragon/policy/crash_suspects.h"

#include <algorithm>

#include "tarragon/base/invariant.h"

namespace tarragon::policy {

namespace {

// An entry stops publishing its crashes this long before they expire. Otherwise a late report could
// restart the retention at an entry where they have already expired.
constexpr duration kPublishStopBeforeExpiry = std::chrono::seconds(30);

}  // namespace

crash_suspects::crash_suspects(crash_suspect_options options) : options_(options) {}

std::uint32_t crash_suspects::ActiveCrashes(const suspect& state) {
  std::uint32_t crashes = state.own.crashes - state.own.cleared;
  for (const auto& [vm, count] : state.peers) {
    crashes += count.crashes - count.cleared;
  }
  return crashes;
}

crash_suspects::suspect& crash_suspects::GetOrCreate(fingerprint content) {
  if (!suspects_.contains(content) && suspects_.size() >= options_.max_suspects) {
    EvictOldest();
  }
  return suspects_[content];
}

void crash_suspects::RecordCrash(time_point now, fingerprint content) {
  suspect& state = GetOrCreate(content);
  state.own.crashes += 1;
  state.last_crash = state.last_own_crash = now;
}

void crash_suspects::RecordCompleted(fingerprint content) {
  const auto found = suspects_.find(content);
  if (found == suspects_.end()) {
    return;
  }
  suspect& state = found->second;
  state.own.cleared = state.own.crashes;
  for (auto& [vm, count] : state.peers) {
    count.cleared = count.crashes;
  }
}

void crash_suspects::Merge(time_point now,
                           std::string_view vm,
                           const std::vector<suspect_crashes>& reports) {
  for (const suspect_crashes& report : reports) {
    if (report.crashes == 0) {
      continue;
    }
    suspect& state = GetOrCreate(report.content);
    auto peer = std::ranges::find(state.peers, vm, &peer_count::vm);
    if (peer == state.peers.end()) {
      peer = state.peers.insert(peer, {std::string(vm), {}});
    }
    if (report.crashes > peer->count.crashes) {
      peer->count.crashes = report.crashes;
      state.last_crash = now;
    }
    const std::uint32_t cleared = std::min(report.cleared, peer->count.crashes);
    peer->count.cleared = std::max(peer->count.cleared, cleared);
  }
}

std::uint32_t crash_suspects::ActiveCrashes(fingerprint content) const {
  const auto found = suspects_.find(content);
  return found == suspects_.end() ? 0 : ActiveCrashes(found->second);
}

bool crash_suspects::IsRefused(fingerprint content) const {
  return ActiveCrashes(content) >= options_.max_crashes;
}

duration crash_suspects::RemainingRefusalTime(time_point now, fingerprint content) const {
  if (!IsRefused(content)) {
    return duration::zero();
  }
  return std::max(suspects_.at(content).last_crash + options_.retention - now, duration::zero());
}

bool crash_suspects::CanRun(fingerprint content, endpoint_index endpoint) const {
  if (!IsSuspect(content)) {
    return true;
  }
  const auto runs_content = [content](const auto& assignment) {
    return assignment.second == content;
  };
  return !assignments_.contains(endpoint) && std::ranges::none_of(assignments_, runs_content);
}

bool crash_suspects::TryAssign(fingerprint content, endpoint_index endpoint) {
  if (!IsSuspect(content)) {
    return true;
  }
  if (!CanRun(content, endpoint)) {
    return false;
  }
  assignments_.emplace(endpoint, content);
  return true;
}

void crash_suspects::Release(fingerprint content, endpoint_index endpoint) {
  const auto found = assignments_.find(endpoint);
  if (found != assignments_.end() && found->second == content) {
    assignments_.erase(found);
  }
}

void crash_suspects::Expire(time_point now) {
  std::erase_if(suspects_, [&](const auto& keyed_suspect) {
    return now - keyed_suspect.second.last_crash >= options_.retention;
  });
}

void crash_suspects::EvictOldest() {
  const auto oldest = std::ranges::min_element(
      suspects_, {}, [](const auto& keyed_suspect) { return keyed_suspect.second.last_crash; });
  suspects_.erase(oldest);
}

std::vector<suspect_crashes> crash_suspects::LocalReports(time_point now,
                                                          std::size_t max_reports) const {
  struct dated_report {
    time_point last_crash;
    suspect_crashes report;
  };
  std::vector<dated_report> dated_reports;
  for (const auto& [content, state] : suspects_) {
    const bool is_recent =
        now - state.last_own_crash < options_.retention - kPublishStopBeforeExpiry;
    if (state.own.crashes > 0 && is_recent) {
      dated_reports.push_back(
          {state.last_own_crash, {content, state.own.crashes, state.own.cleared}});
    }
  }
  std::ranges::sort(dated_reports, [](const dated_report& a, const dated_report& b) {
    return std::pair(b.last_crash, a.report.content) < std::pair(a.last_crash, b.report.content);
  });
  std::vector<suspect_crashes> reports;
  for (const dated_report& latest : dated_reports) {
    if (reports.size() == max_reports) {
      break;
    }
    reports.push_back(latest.report);
  }
  return reports;
}

void crash_suspects::Validate() const {
  TARRAGON_INVARIANT(suspects_.size() <= options_.max_suspects, "more suspects than max_suspects");
  for (const auto& [content, state] : suspects_) {
    TARRAGON_INVARIANT(state.own.cleared <= state.own.crashes,
                       "more own crashes cleared than recorded");
    for (const auto& [vm, count] : state.peers) {
      TARRAGON_INVARIANT(count.cleared <= count.crashes, "more peer crashes cleared than reported");
    }
  }
  for (const auto& assignment : assignments_) {
    const auto is_same = [&assignment](const auto& other) {
      return other.second == assignment.second;
    };
    TARRAGON_INVARIANT(std::ranges::count_if(assignments_, is_same) == 1,
                       "suspect is assigned to two endpoints");
  }
}

}  // namespace tarragon::policy
