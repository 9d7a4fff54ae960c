#include "tarragon/routing/endpoint_evidence.h"

#include <algorithm>
#include <functional>
#include <limits>
#include <ranges>
#include <string>
#include <tuple>
#include <utility>

#include "tarragon/base/hash.h"
#include "tarragon/base/invariant.h"

namespace tarragon::routing {

void endpoint_evidence::SetWitness(std::string_view name, std::int64_t started_unix_ms) {
  // Leaves room for a million statements in each millisecond between two starts.
  constexpr int kCounterBits = 20;
  witness_ = Hash64(name);
  last_number_ = started_unix_ms << kCounterBits;
}

endpoint_incarnation endpoint_evidence::IncarnationOf(const endpoint& known) {
  return {known.id_hash, known.entry.started_unix_ms};
}

void endpoint_evidence::Record(time_point now, const endpoint& known, evidence_kind kind) {
  Add({IncarnationOf(known), witness_}, {.number = ++last_number_,
                                         .kind = kind,
                                         .row_version = known.row_version,
                                         .observed_at = now});
}

void endpoint_evidence::RecordRefused(time_point now, const endpoint& known) {
  Record(now, known, evidence_kind::kRefused);
}

bool endpoint_evidence::RecordAnswer(time_point now, endpoint& known) {
  const bool contradicts = Judge(known).witnesses > 0;
  known.last_answer_at = now;
  if (contradicts) {
    Record(now, known, evidence_kind::kAnswers);
  }
  return contradicts;
}

std::size_t endpoint_evidence::Merge(time_point now,
                                     std::span<const endpoint_statement> statements) {
  return static_cast<std::size_t>(
      std::ranges::count_if(statements, [&](const endpoint_statement& told) {
        const duration age = std::max<duration>(told.age, duration::zero());
        // What this daemon has said itself it knows best.
        return told.witness != witness_ && age < options_.retention &&
               Add({told.incarnation, told.witness}, {.number = told.number,
                                                      .kind = told.kind,
                                                      .row_version = told.row_version,
                                                      .observed_at = now - age});
      }));
}

bool endpoint_evidence::Add(const record_key& key, const record& added) {
  const auto [found, is_first] = records_.try_emplace(key, added);
  record& known = found->second;
  const auto rank = [](const record& ranked) {
    return std::tuple(ranked.number, ranked.kind, ranked.row_version);
  };
  const bool is_new = is_first || rank(known) < rank(added);
  if (is_new) {
    known = added;
  } else if (rank(known) == rank(added)) {
    // A copy that took longer to arrive must not make the statement younger.
    known.observed_at = std::min(known.observed_at, added.observed_at);
  }
  if (records_.size() > options_.max_statements) {
    DropOldest();
  }
  return is_new;
}

void endpoint_evidence::DropOldest() {
  records_.erase(std::ranges::min_element(
      records_, {}, [](const auto& item) { return item.second.observed_at; }));
}

bool endpoint_evidence::HasUnsentChanges() const {
  return std::ranges::any_of(records_ | std::views::values,
                             [](const record& known) { return known.sends_left > 0; });
}

std::vector<endpoint_statement> endpoint_evidence::TakeChanges(time_point now, std::size_t limit) {
  std::vector<endpoint_statement> changes;
  for (auto& [key, known] : records_) {
    if (changes.size() == limit) {
      break;
    }
    if (known.sends_left > 0) {
      --known.sends_left;
      changes.push_back(
          {.incarnation = key.incarnation,
           .row_version = known.row_version,
           .witness = key.witness,
           .number = known.number,
           .kind = known.kind,
           .age = std::chrono::floor<std::chrono::milliseconds>(now - known.observed_at)});
    }
  }
  return changes;
}

void endpoint_evidence::Expire(time_point now) {
  std::erase_if(records_, [&](const auto& item) {
    return item.second.observed_at + options_.retention <= now;
  });
}

endpoint_evidence::verdict endpoint_evidence::Judge(const endpoint& known) const {
  const endpoint_incarnation incarnation = IncarnationOf(known);
  const auto about = std::ranges::subrange(
      records_.lower_bound({incarnation, 0}),
      records_.upper_bound({incarnation, std::numeric_limits<std::uint64_t>::max()}));
  time_point answered_at = known.last_answer_at;
  for (const record& each : about | std::views::values) {
    if (each.kind == evidence_kind::kAnswers) {
      answered_at = std::max(answered_at, each.observed_at);
    }
  }
  verdict judged;
  for (const record& each : about | std::views::values) {
    if (each.kind == evidence_kind::kRefused && each.row_version >= known.row_version &&
        each.observed_at > answered_at) {
      ++judged.witnesses;
      judged.refused_at = std::max(judged.refused_at, each.observed_at);
    }
  }
  return judged;
}

time_point endpoint_evidence::UnreachableUntil(const endpoint& known, const verdict& judged) const {
  constexpr std::uint64_t kSteps = 1024;
  if (judged.witnesses == 0) {
    return time_point::min();
  }
  if (judged.witnesses == 1) {
    return judged.refused_at + options_.single_witness_period;
  }
  const std::uint64_t step = Hash64(known.entry.id, witness_) % kSteps;
  return judged.refused_at + options_.confirmed_period +
         options_.confirmed_period * static_cast<std::int64_t>(step) /
             static_cast<std::int64_t>(kSteps);
}

bool endpoint_evidence::IsRefused(time_point now, const endpoint& known) const {
  return UnreachableUntil(known, Judge(known)) > now;
}

std::size_t endpoint_evidence::Apply(time_point now, endpoint_registry& registry) {
  struct candidate {
    endpoint_ptr known;
    std::size_t witnesses = 0;
  };
  std::map<std::string, std::vector<candidate>, std::less<>> by_service;
  const endpoint_incarnation* previous = nullptr;
  for (const record_key& key : records_ | std::views::keys) {
    if (previous != nullptr && *previous == key.incarnation) {
      continue;
    }
    previous = &key.incarnation;
    const endpoint_ptr known = registry.FindByHash(key.incarnation.endpoint_hash);
    if (!known || IncarnationOf(*known) != key.incarnation || known->leaving) {
      continue;
    }
    const verdict judged = Judge(*known);
    if (UnreachableUntil(*known, judged) > now) {
      by_service[known->entry.service].push_back({known, judged.witnesses});
    }
  }
  const std::vector<endpoint_ptr> before = std::exchange(unreachable_, {});
  std::ranges::for_each(before, [](const endpoint_ptr& known) { known->unreachable = false; });
  for (auto& [service, candidates] : by_service) {
    std::ranges::sort(candidates, [](const candidate& a, const candidate& b) {
      return std::tuple(b.witnesses, std::string_view(a.known->entry.id)) <
             std::tuple(a.witnesses, std::string_view(b.known->entry.id));
    });
    const std::size_t allowed = registry.CountExcludableByHearsay(service);
    for (const candidate& each : candidates | std::views::take(allowed)) {
      each.known->unreachable = true;
      unreachable_.push_back(each.known);
    }
  }
  return static_cast<std::size_t>(std::ranges::count_if(
      unreachable_,
      [&](const endpoint_ptr& known) { return std::ranges::find(before, known) == before.end(); }));
}

void endpoint_evidence::Validate() const {
  TARRAGON_INVARIANT(records_.size() <= options_.max_statements, "too many statements are kept");
  TARRAGON_INVARIANT(
      std::ranges::all_of(unreachable_,
                          [](const endpoint_ptr& known) { return known->unreachable; }),
      "an endpoint is listed as unreachable but not marked");
}

}  // namespace tarragon::routing
