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

crash_suspects::suspect& crash_suspects::GetOrCreate(fingerprint request_fingerprint) {
  if (!suspects_.contains(request_fingerprint) && suspects_.size() >= options_.max_suspects) {
    EvictOldest();
  }
  return suspects_[request_fingerprint];
}

void crash_suspects::RecordCrash(time_point now, fingerprint request_fingerprint) {
  suspect& state = GetOrCreate(request_fingerprint);
  state.own.crashes += 1;
  state.last_crash = state.last_own_crash = now;
}

void crash_suspects::RecordCompleted(fingerprint request_fingerprint) {
  const auto found = suspects_.find(request_fingerprint);
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
    suspect& state = GetOrCreate(report.request_fingerprint);
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

std::uint32_t crash_suspects::ActiveCrashes(fingerprint request_fingerprint) const {
  const auto found = suspects_.find(request_fingerprint);
  return found == suspects_.end() ? 0 : ActiveCrashes(found->second);
}

bool crash_suspects::IsRefused(fingerprint request_fingerprint) const {
  return ActiveCrashes(request_fingerprint) >= options_.max_crashes;
}

duration crash_suspects::RemainingRefusalTime(time_point now,
                                              fingerprint request_fingerprint) const {
  if (!IsRefused(request_fingerprint)) {
    return duration::zero();
  }
  return std::max(suspects_.at(request_fingerprint).last_crash + options_.retention - now,
                  duration::zero());
}

bool crash_suspects::CanRun(fingerprint request_fingerprint, endpoint_index endpoint) const {
  if (!IsSuspect(request_fingerprint)) {
    return true;
  }
  const auto runs_request = [request_fingerprint](const auto& assignment) {
    return assignment.second == request_fingerprint;
  };
  return !assignments_.contains(endpoint) && std::ranges::none_of(assignments_, runs_request);
}

bool crash_suspects::TryAssign(fingerprint request_fingerprint, endpoint_index endpoint) {
  if (!IsSuspect(request_fingerprint)) {
    return true;
  }
  if (!CanRun(request_fingerprint, endpoint)) {
    return false;
  }
  assignments_.emplace(endpoint, request_fingerprint);
  return true;
}

void crash_suspects::Release(fingerprint request_fingerprint, endpoint_index endpoint) {
  const auto found = assignments_.find(endpoint);
  if (found != assignments_.end() && found->second == request_fingerprint) {
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
  for (const auto& [request_fingerprint, state] : suspects_) {
    const bool is_recent =
        now - state.last_own_crash < options_.retention - kPublishStopBeforeExpiry;
    if (state.own.crashes > 0 && is_recent) {
      dated_reports.push_back(
          {state.last_own_crash, {request_fingerprint, state.own.crashes, state.own.cleared}});
    }
  }
  std::ranges::sort(dated_reports, [](const dated_report& a, const dated_report& b) {
    return std::pair(b.last_crash, a.report.request_fingerprint) <
           std::pair(a.last_crash, b.report.request_fingerprint);
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
  for (const auto& [request_fingerprint, state] : suspects_) {
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
