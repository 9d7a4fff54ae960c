#include "tarragon/routing/endpoint_picker.h"

#include <algorithm>
#include <cmath>
#include <optional>
#include <ranges>
#include <tuple>

#include "tarragon/base/hash.h"
#include "tarragon/routing/pause_predictor.h"

namespace tarragon::routing {

namespace {

endpoint_load TotalLoad(const endpoint& candidate) {
  endpoint_load total = candidate.own_load;
  total += candidate.peer_load;
  return total;
}

bool HasRequiredVersion(const endpoint& candidate, const pick_request& request) {
  return !request.software_version || candidate.entry.software_version == *request.software_version;
}

bool MayBeUsedLater(const endpoint& candidate, const pick_request& request) {
  return candidate.accepts_work() && HasRequiredVersion(candidate, request) &&
         std::ranges::find(request.excluded, candidate.entry.id) == request.excluded.end();
}

bool IsUsable(time_point now, const endpoint& candidate, const pick_request& request) {
  const bool may_begin = !request.is_resumable || !candidate.awaits_announcement;
  return MayBeUsedLater(candidate, request) && may_begin && candidate.cooldown_until <= now &&
         !candidate.pause.IsPaused(now);
}

/** Describes why no endpoint is usable. */
void DescribeUnavailability(time_point now,
                            const std::vector<endpoint_ptr>& candidates,
                            const pick_request& request,
                            pick_result& result) {
  const auto has_version = [&](const endpoint_ptr& known) {
    return HasRequiredVersion(*known, request);
  };
  auto allowed = candidates | std::views::filter(has_version);
  result.all_leave = !candidates.empty() &&
                     std::ranges::none_of(
                         allowed, [](const endpoint_ptr& known) { return known->accepts_work(); });
  result.is_version_gone =
      request.software_version && std::ranges::none_of(allowed, [](const endpoint_ptr& known) {
        return known->listed && !known->leaving;
      });
  std::optional<duration> shortest;
  for (const endpoint_ptr& candidate : candidates) {
    if (!MayBeUsedLater(*candidate, request)) {
      continue;
    }
    if (!candidate->pause.IsPaused(now)) {
      return;
    }
    const duration remaining = candidate->pause.Remaining(now);
    shortest = std::min(remaining, shortest.value_or(remaining));
  }
  result.time_to_end_of_pause = shortest;
}

/** @return a uniform value in [0, 1) for the request and the candidate; 0 without entropy. */
double SpreadPoint(const endpoint& candidate, std::uint64_t entropy) {
  constexpr double kHashRange = 18446744073709551616.0;
  return entropy == 0 ? 0 : static_cast<double>(Hash64(candidate.entry.id, entropy)) / kHashRange;
}

limit_use LimitUse(const pick_request& request) {
  return request.has_begun ? limit_use::kBegunStream : limit_use::kWithinLimit;
}

/**
 * @return whether the request may use the candidate's room. Of the requests that want it at all
 * daemons, about as many win as there is room for, since the daemons do not know of each other's
 * sends in time. The chance grows while room is not used, as fewer requests may be waiting.
 */
bool WinsRoom(time_point now, const endpoint& candidate, const pick_request& request) {
  constexpr duration kDoublingTime = std::chrono::milliseconds(200);
  if (!candidate.limit.is_limited()) {
    return true;
  }
  const double room = candidate.limit.Room(now, LimitUse(request));
  if (room < 1 || request.contenders <= 1) {
    return room >= 1;
  }
  const duration unused =
      std::min(candidate.limit.UnusedRoomAge(now, LimitUse(request)), request.waited);
  const double doublings = std::chrono::duration<double>(unused) / kDoublingTime;
  const double chance = room / request.contenders * std::exp2(doublings);
  return SpreadPoint(candidate, request.entropy) <= chance;
}

std::optional<bool> PredictPauseMiss(const pause_predictor& predictor,
                                     const endpoint& candidate,
                                     const pick_request& request) {
  if (request.engine == nullptr || request.pause_objective.count() == 0) {
    return false;
  }
  const std::optional<duration> longest = predictor.PredictLongestPause(candidate);
  return longest ? std::optional(*longest > request.pause_objective) : std::nullopt;
}

}  // namespace

std::optional<bool> endpoint_picker::MissesPauseObjective(const endpoint_registry& registry,
                                                          const endpoint& candidate,
                                                          const pick_request& request) {
  return PredictPauseMiss(pause_predictor(registry.FindByService(request.service)), candidate,
                          request);
}

bool endpoint_picker::IsLongOutput(const work_size& size) const {
  // The caller's estimate is often far too low, so the maximum output decides.
  return std::max(size.output_tokens, size.max_output_tokens) >= options_.min_long_output_tokens;
}

bool endpoint_picker::IsLongStream(const pick_request& request) const {
  return request.pause_objective.count() > 0 && IsLongOutput(request.size);
}

bool endpoint_picker::HasCapacity(const endpoint& candidate,
                                  const pick_request& request,
                                  double memory_share) const {
  const endpoint_load load = TotalLoad(candidate);
  if (request.engine == nullptr) {
    return load.requests < candidate.entry.slots;
  }
  const double memory = request.engine->memory_tokens;
  const double needed =
      std::min<double>(request.size.tokens(), options_.max_considered_share * memory);
  return load.requests < request.engine->slots && load.tokens + needed <= memory_share * memory;
}

double endpoint_picker::PausePenaltyMs(const endpoint_load& load,
                                       const pick_request& request,
                                       std::optional<bool> misses_pause_objective) const {
  double penalty = 0;
  if (misses_pause_objective.value_or(false)) {
    penalty += load.long_streams * options_.disturbed_stream_penalty_ms;
  }
  if (IsLongStream(request)) {
    penalty += !misses_pause_objective
                   ? options_.unknown_pause_penalty_ms
                   : (*misses_pause_objective ? options_.missed_pause_penalty_ms : 0);
  } else if (!misses_pause_objective.value_or(true)) {
    penalty += options_.reserved_engine_penalty_ms;
  }
  return penalty;
}

double endpoint_picker::ScoreMs(time_point now,
                                const endpoint& candidate,
                                const pick_request& request,
                                std::optional<bool> misses_pause_objective) const {
  const endpoint_load load = TotalLoad(candidate);
  double work = 0;
  double expected = candidate.consecutive_failures * options_.failure_penalty_ms;
  if (request.engine != nullptr) {
    const double unread = load.unread_tokens + request.size.prompt_tokens;
    work = unread / options_.prefill_tokens_per_ms + load.requests * options_.generation_penalty_ms;
    work += load.tokens / std::max(1.0, static_cast<double>(request.engine->memory_tokens));
    expected += PausePenaltyMs(load, request, misses_pause_objective);
  } else {
    const double slots = std::max(1U, candidate.entry.slots);
    work = options_.plain_call_ms * (1 + load.requests / slots);
  }
  expected += work * std::max(1.0, candidate.slowness.Current(now));
  if (candidate.entry.failure_domain != request.own_failure_domain) {
    expected += options_.cross_domain_penalty_ms;
  }
  expected += options_.spread_ms * SpreadPoint(candidate, request.entropy);
  if (candidate.limit.is_limited()) {
    // Room for a few requests attracts all daemons at once.
    expected += expected * SpreadPoint(candidate, request.entropy);
  }
  if (now < candidate.cold_until) {
    expected += options_.warm_up_penalty_ms;
  }
  return expected;
}

pick_result endpoint_picker::Pick(time_point now,
                                  const endpoint_registry& registry,
                                  const pick_request& request) const {
  const std::vector<endpoint_ptr>& candidates = registry.FindByService(request.service);
  const pause_predictor predictor(candidates);
  // Endpoints within their limits go first, then those with capacity, then the fastest one.
  const auto precedes = [](const pick_result& a, const pick_result& b) {
    return std::tuple(!a.is_within_limit, !a.has_capacity, a.expected) <
           std::tuple(!b.is_within_limit, !b.has_capacity, b.expected);
  };
  pick_result best;
  std::optional<duration> time_to_room;
  for (const endpoint_ptr& candidate : candidates) {
    if (!IsUsable(now, *candidate, request)) {
      continue;
    }
    if (!WinsRoom(now, *candidate, request)) {
      const duration wait = candidate->limit.TimeToRoom(now, LimitUse(request));
      time_to_room = std::min(wait, time_to_room.value_or(wait));
      continue;
    }
    const bool is_within_limit = candidate->limit.HasRoom(now);
    const bool has_capacity =
        HasCapacity(*candidate, request, request.memory_share.value_or(options_.max_memory_share));
    const std::chrono::duration<double, std::milli> expected{
        ScoreMs(now, *candidate, request, PredictPauseMiss(predictor, *candidate, request))};
    const pick_result next{candidate, is_within_limit, has_capacity, expected, {},
                           {},        false,           false};
    if (!best.chosen || precedes(next, best)) {
      best = next;
    }
  }
  best.time_to_room = time_to_room;
  if (!best.chosen && !time_to_room) {
    DescribeUnavailability(now, candidates, request, best);
  }
  return best;
}

bool endpoint_picker::TakesByLimit(time_point now,
                                   const endpoint& candidate,
                                   const pick_request& request) {
  return WinsRoom(now, candidate, request);
}

std::uint64_t endpoint_picker::CopyTargetWeight(const endpoint& candidate,
                                                const pick_request& request,
                                                copy_purpose purpose,
                                                std::optional<bool> misses_pause_objective) const {
  const std::uint64_t used = TotalLoad(candidate).tokens;
  const std::uint64_t memory = request.engine->memory_tokens;
  std::uint64_t weight = memory > used ? memory - used : 1;
  const bool is_standby = purpose == copy_purpose::kStandby;
  if (candidate.limit.is_limited() || (is_standby && misses_pause_objective.value_or(false))) {
    // The streams would exceed the limit or miss their pause objective there, so this engine is a
    // last resort.
    weight = 1;
  } else if (!is_standby) {
    weight *= misses_pause_objective.value_or(true) ? options_.backup_target_factor : 1;
  } else if (!misses_pause_objective) {
    weight = std::max<std::uint64_t>(1, weight / options_.unknown_pause_divisor);
  }
  const bool preferred = candidate.entry.failure_domain == request.preferred_failure_domain;
  return preferred ? weight * options_.preferred_domain_factor : weight;
}

pick_result endpoint_picker::PickCopyTarget(time_point now,
                                            const endpoint_registry& registry,
                                            const pick_request& request,
                                            copy_purpose purpose,
                                            std::uint64_t entropy) const {
  struct choice {
    endpoint_ptr engine;
    std::uint64_t weight;
  };
  const std::vector<endpoint_ptr>& candidates = registry.FindByService(request.service);
  const pause_predictor predictor(candidates);
  const double memory_share = purpose == copy_purpose::kBackup ? options_.max_backup_memory_share
                                                               : options_.max_memory_share;
  std::vector<choice> choices;
  std::uint64_t total = 0;
  for (const endpoint_ptr& candidate : candidates) {
    if (request.engine == nullptr || !IsUsable(now, *candidate, request) ||
        !HasCapacity(*candidate, request, memory_share)) {
      continue;
    }
    const std::uint64_t weight = CopyTargetWeight(*candidate, request, purpose,
                                                  PredictPauseMiss(predictor, *candidate, request));
    choices.push_back({candidate, weight});
    total += weight;
  }
  if (choices.empty()) {
    // Without room, a standby copy is still worth a try, but a backup is not.
    return purpose == copy_purpose::kBackup ? pick_result{} : Pick(now, registry, request);
  }
  std::uint64_t point = entropy % total;
  const auto chosen = std::ranges::find_if(choices, [&](const choice& candidate) {
    if (point < candidate.weight) {
      return true;
    }
    point -= candidate.weight;
    return false;
  });
  return {chosen->engine, true, true, {}, {}, {}, false, false};
}

}  // namespace tarragon::routing
