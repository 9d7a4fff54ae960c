#include "tarragon/routing/crash_quarantine.h"

#include <algorithm>
#include <iterator>
#include <ranges>
#include <tuple>
#include <utility>

#include "tarragon/base/invariant.h"

namespace tarragon::routing {

crash_quarantine::crash_quarantine(quarantine_options options) : options_(options) {}

bool crash_quarantine::WasAnswered(fingerprint trait) const {
  return answered_.contains(trait) || answered_earlier_.contains(trait);
}

void crash_quarantine::RememberAnswered(time_point now, fingerprint trait) {
  if (answered_.size() >= options_.max_answered / 2 ||
      now - answered_since_ >= options_.retention / 2) {
    answered_earlier_ = std::exchange(answered_, {});
    answered_since_ = now;
  }
  answered_.insert(trait);
}

void crash_quarantine::RecordCrash(time_point now,
                                   std::span<const request_trait> traits,
                                   std::uint64_t endpoint_hash,
                                   bool answer_begun) {
  for (const request_trait& trait : traits) {
    const bool answered = WasAnswered(trait.id);
    if (answered && !answer_begun) {
      // Endpoints hold many waiting requests with popular traits, so this would be no evidence.
      continue;
    }
    MergeRecord(now, {.trait = trait,
                      .endpoint_hash = endpoint_hash,
                      .answer_begun = answer_begun,
                      .cleared = false,
                      .answered_before = answered,
                      .age = {}});
    if (const auto found = traits_.find(trait.id); found != traits_.end()) {
      found->second.is_own = true;
    }
  }
  Decide(now);
}

void crash_quarantine::RecordAnswered(time_point now,
                                      std::span<const request_trait> traits,
                                      time_point sent_at) {
  bool changed = false;
  for (const request_trait& trait : traits) {
    RememberAnswered(now, trait.id);
    const auto found = traits_.find(trait.id);
    if (found == traits_.end()) {
      continue;
    }
    for (auto& [endpoint_hash, record] : found->second.crashes) {
      if (!record.cleared && record.seen_at <= sent_at) {
        record.cleared = changed = true;
        MarkUnsent(trait.id, endpoint_hash);
      }
    }
  }
  if (changed) {
    Decide(now);
  }
}

void crash_quarantine::Merge(time_point now, std::span<const crash_record> records) {
  const auto changes =
      std::ranges::count_if(records, [&](const crash_record& r) { return MergeRecord(now, r); });
  if (changes > 0) {
    Decide(now);
  }
}

bool crash_quarantine::MergeRecord(time_point now, const crash_record& record) {
  if (record.age >= options_.retention) {
    return false;
  }
  trait_state& state = traits_[record.trait.id];
  state.specificity = std::max(state.specificity, record.trait.specificity);
  const auto [position, added] = state.crashes.try_emplace(record.endpoint_hash);
  record_state& known = position->second;
  const bool answered = record.answered_before || WasAnswered(record.trait.id);
  const bool changed = added || (record.answer_begun && !known.answer_begun) ||
                       (record.cleared && !known.cleared) || (answered && !state.answered_before);
  if (added) {
    known.seen_at = now - record.age;
    ++record_count_;
  }
  known.answer_begun |= record.answer_begun;
  known.cleared |= record.cleared;
  state.answered_before |= answered;
  if (changed) {
    MarkUnsent(record.trait.id, record.endpoint_hash);
  }
  if (record_count_ > options_.max_records) {
    DropOldestRecord();
  }
  return changed;
}

void crash_quarantine::MarkUnsent(fingerprint trait, std::uint64_t endpoint_hash) {
  const auto found = std::ranges::find_if(unsent_, [&](const unsent_record& unsent) {
    return unsent.trait == trait && unsent.endpoint_hash == endpoint_hash;
  });
  if (found == unsent_.end()) {
    unsent_.push_back({trait, endpoint_hash, 0});
  } else {
    found->sends = 0;
  }
}

void crash_quarantine::DropOldestRecord() {
  const auto oldest_of = [](const trait_state& state) {
    return std::ranges::min_element(state.crashes, {},
                                    [](const auto& crash) { return crash.second.seen_at; });
  };
  const auto oldest = std::ranges::min_element(
      traits_, {}, [&](const auto& known) { return oldest_of(known.second)->second.seen_at; });
  oldest->second.crashes.erase(oldest_of(oldest->second));
  --record_count_;
  if (oldest->second.crashes.empty()) {
    traits_.erase(oldest);
  }
}

void crash_quarantine::Restore(time_point now, const request_trait& trait, duration age) {
  if (age >= options_.retention) {
    return;
  }
  restored_.insert(trait.id);
  const auto [known, added] = quarantined_.try_emplace(trait.id, trait, now - age);
  known->second.since = std::max(known->second.since, now - age);
}

std::vector<quarantined_trait> crash_quarantine::Quarantined() const {
  const auto traits = quarantined_ | std::views::values;
  return {traits.begin(), traits.end()};
}

std::optional<request_trait> crash_quarantine::FindQuarantined(
    std::span<const request_trait> traits) const {
  const auto found = std::ranges::find_if(
      traits, [this](const request_trait& trait) { return quarantined_.contains(trait.id); });
  return found == traits.end() ? std::nullopt : std::optional(*found);
}

crash_quarantine::endpoint_set crash_quarantine::EndpointsWithBegunAnswer() const {
  endpoint_set begun;
  for (const trait_state& state : traits_ | std::views::values) {
    for (const auto& [endpoint_hash, record] : state.crashes) {
      if (record.answer_begun && !record.cleared) {
        begun.insert(endpoint_hash);
      }
    }
  }
  return begun;
}

std::size_t crash_quarantine::CountWindows(std::span<const time_point> sorted_times,
                                           std::optional<time_point> start) const {
  std::size_t count = 0;
  std::optional<time_point> counted = start;
  for (const time_point time : sorted_times) {
    if (!counted || time - *counted >= options_.common_cause_window) {
      counted = time;
      ++count;
    }
  }
  return count;
}

std::size_t crash_quarantine::CountUnexplained(const trait_state& state,
                                               const endpoint_set& begun,
                                               const endpoint_set& explained) const {
  std::vector<time_point> times;
  times.reserve(state.crashes.size());
  for (const auto& [endpoint_hash, record] : state.crashes) {
    // A request that was only waiting did not crash an endpoint that began to answer another one.
    const bool counts =
        record.answer_begun || (!state.answered_before && !begun.contains(endpoint_hash));
    if (counts && !record.cleared && !explained.contains(endpoint_hash)) {
      times.push_back(record.seen_at);
    }
  }
  if (!state.answered_before) {
    return times.size();
  }
  std::ranges::sort(times);
  const std::size_t windows = CountWindows(times, std::nullopt);
  if (times.size() < options_.crashes_before_late) {
    return windows;
  }
  const time_point last_early = times[options_.crashes_before_late - 1];
  const bool is_quarantined = CountWindows(times, last_early) >= options_.max_late_crashes;
  return is_quarantined ? std::max(windows, options_.max_crashes_of_answered) : windows;
}

std::optional<crash_quarantine::candidate> crash_quarantine::FindCulprit(
    const endpoint_set& begun,
    const endpoint_set& explained,
    bool answered_before) const {
  const std::size_t min_crashes =
      answered_before ? options_.max_crashes_of_answered : options_.max_crashes;
  const auto rank = [](const candidate& c) {
    return std::tuple(c.crashes, c.trait.specificity, c.trait.id);
  };
  std::optional<candidate> best;
  for (const auto& [id, state] : traits_) {
    if (state.answered_before != answered_before || state.crashes.size() < min_crashes) {
      continue;
    }
    const candidate next{
        {id, state.specificity}, answered_before, CountUnexplained(state, begun, explained)};
    if (next.crashes >= min_crashes && (!best || rank(next) > rank(*best))) {
      best = next;
    }
  }
  return best;
}

void crash_quarantine::Decide(time_point now) {
  const endpoint_set begun = EndpointsWithBegunAnswer();
  std::unordered_map<fingerprint, quarantined_trait> culprits;
  endpoint_set explained;
  for (const bool answered_before : {false, true}) {
    while (const auto found = FindCulprit(begun, explained, answered_before)) {
      culprits.emplace(found->trait.id, quarantined_trait{found->trait, now});
      std::ranges::copy(traits_.at(found->trait.id).crashes | std::views::keys,
                        std::inserter(explained, explained.end()));
    }
  }
  for (const fingerprint id : restored_) {
    culprits.insert(*quarantined_.find(id));
  }
  std::swap(quarantined_, culprits);
  for (auto& [id, known] : quarantined_) {
    if (const auto earlier = culprits.find(id); earlier != culprits.end()) {
      known.since = earlier->second.since;
    } else if (on_quarantined_) {
      on_quarantined_(known.trait, traits_.at(id).is_own);
    }
  }
}

std::optional<crash_record> crash_quarantine::MakeRecord(time_point now,
                                                         fingerprint trait,
                                                         std::uint64_t endpoint_hash) const {
  const auto found = traits_.find(trait);
  if (found == traits_.end()) {
    return std::nullopt;
  }
  const trait_state& state = found->second;
  const auto crash = state.crashes.find(endpoint_hash);
  if (crash == state.crashes.end() ||
      now - crash->second.seen_at >= options_.retention - kUntoldBeforeExpiry) {
    return std::nullopt;
  }
  const record_state& record = crash->second;
  return crash_record{.trait = {trait, state.specificity},
                      .endpoint_hash = endpoint_hash,
                      .answer_begun = record.answer_begun,
                      .cleared = record.cleared,
                      .answered_before = state.answered_before,
                      .age = std::chrono::floor<std::chrono::milliseconds>(now - record.seen_at)};
}

std::vector<crash_record> crash_quarantine::TakeChanges(time_point now, std::size_t max_records) {
  std::vector<crash_record> changes;
  std::size_t looked_at = 0;
  for (unsent_record& unsent : unsent_) {
    if (changes.size() == max_records) {
      break;
    }
    ++looked_at;
    ++unsent.sends;
    if (const auto record = MakeRecord(now, unsent.trait, unsent.endpoint_hash)) {
      changes.push_back(*record);
    } else {
      unsent.sends = kSends;
    }
  }
  // Those not looked at come first the next time.
  std::ranges::rotate(unsent_, unsent_.begin() + static_cast<std::ptrdiff_t>(looked_at));
  std::erase_if(unsent_, [](const unsent_record& unsent) { return unsent.sends >= kSends; });
  return changes;
}

std::vector<crash_record> crash_quarantine::QuarantineRecords(time_point now,
                                                              std::size_t max_records) const {
  std::vector<crash_record> records;
  for (const fingerprint id : quarantined_ | std::views::keys) {
    const auto found = traits_.find(id);
    if (found == traits_.end()) {
      continue;
    }
    for (const std::uint64_t endpoint_hash : found->second.crashes | std::views::keys) {
      const auto record = MakeRecord(now, id, endpoint_hash);
      if (record && records.size() < max_records) {
        records.push_back(*record);
      }
    }
  }
  return records;
}

void crash_quarantine::Expire(time_point now) {
  for (trait_state& state : traits_ | std::views::values) {
    record_count_ -= std::erase_if(state.crashes, [&](const auto& crash) {
      return now - crash.second.seen_at >= options_.retention;
    });
  }
  const std::size_t expired =
      std::erase_if(traits_, [](const auto& known) { return known.second.crashes.empty(); }) +
      std::erase_if(restored_, [&](fingerprint id) {
        return now - quarantined_.at(id).since >= options_.retention;
      });
  if (expired > 0) {
    Decide(now);
  }
}

void crash_quarantine::Validate() const {
  std::size_t records = 0;
  for (const trait_state& state : traits_ | std::views::values) {
    TARRAGON_INVARIANT(!state.crashes.empty(), "a trait without crashes is kept");
    records += state.crashes.size();
  }
  TARRAGON_INVARIANT(records == record_count_, "the number of crash records is wrong");
  TARRAGON_INVARIANT(record_count_ <= options_.max_records, "more crash records than max_records");
}

}  // namespace tarragon::routing
