#include "tarragon/routing/endpoint_picker.h"

#include <algorithm>
#include <optional>

#include "tarragon/routing/pause_predictor.h"

namespace tarragon::routing {

namespace {

endpoint_load TotalLoad(const endpoint& candidate) {
  endpoint_load total = candidate.own;
  total += candidate.others;
  return total;
}

bool MayUse(time_point now, const endpoint& candidate, const pick_request& request) {
  return candidate.takes_work() && candidate.avoid_until <= now &&
         std::ranges::find(request.excluded, candidate.entry.id) == request.excluded.end();
}

std::optional<bool> Misses(const pause_predictor& predictor,
                           const endpoint& candidate,
                           const pick_request& request) {
  if (request.engine == nullptr || request.pause_objective.count() == 0) {
    return false;
  }
  const std::optional<duration> longest = predictor.LongestPause(candidate);
  return longest ? std::optional(*longest > request.pause_objective) : std::nullopt;
}

}  // namespace

std::optional<bool> endpoint_picker::MissesPause(const endpoint_registry& registry,
                                                 const endpoint& candidate,
                                                 const pick_request& request) {
  return Misses(pause_predictor(registry.OfService(request.service)), candidate, request);
}

bool endpoint_picker::IsLongStream(const pick_request& request) const {
  // The caller's estimate is often far off, so that the longest output counts.
  const std::uint32_t longest =
      std::max(request.size.output_tokens, request.size.most_output_tokens);
  return request.pause_objective.count() > 0 && longest >= options_.long_output_tokens;
}

bool endpoint_picker::HasRoom(const endpoint& candidate, const pick_request& request) const {
  const endpoint_load load = TotalLoad(candidate);
  if (request.engine == nullptr) {
    return load.requests < candidate.entry.slots;
  }
  const double limit = options_.memory_share * request.engine->memory_tokens;
  return load.requests < request.engine->slots && load.tokens + request.size.tokens() <= limit;
}

double endpoint_picker::SuitabilityMs(const endpoint_load& load,
                                      const pick_request& request,
                                      std::optional<bool> misses_pause) const {
  double weight = 0;
  if (misses_pause.value_or(false)) {
    weight += load.long_streams * options_.ms_disturbed_stream;
  }
  if (IsLongStream(request)) {
    weight +=
        !misses_pause ? options_.ms_pause_unknown : (*misses_pause ? options_.ms_pause_missed : 0);
  } else if (!misses_pause.value_or(true)) {
    weight += options_.ms_kept_for_long;
  }
  return weight;
}

double endpoint_picker::ExpectedMs(time_point now,
                                   const endpoint& candidate,
                                   const pick_request& request,
                                   std::optional<bool> misses_pause) const {
  const endpoint_load load = TotalLoad(candidate);
  double work = 0;
  double expected = candidate.failures * options_.ms_per_failure;
  if (request.engine != nullptr) {
    const double unread = load.unread_tokens + request.size.prompt_tokens;
    work = unread / options_.prompt_tokens_per_ms + load.requests * options_.ms_per_generation;
    work += load.tokens / std::max(1.0, static_cast<double>(request.engine->memory_tokens));
    expected += SuitabilityMs(load, request, misses_pause);
  } else {
    const double slots = std::max(1U, candidate.entry.slots);
    work = options_.ms_plain_call * (1 + load.requests / slots);
  }
  expected += work * std::max(1.0, candidate.slowness.Current(now));
  if (candidate.entry.failure_domain != request.own_failure_domain) {
    expected += options_.ms_other_domain;
  }
  if (now < candidate.listed_at + candidate.entry.warm_up) {
    expected += options_.ms_warm_up;
  }
  return expected;
}

pick_result endpoint_picker::Pick(time_point now,
                                  const endpoint_registry& registry,
                                  const pick_request& request) const {
  const std::vector<endpoint_ptr>& candidates = registry.OfService(request.service);
  const pause_predictor predictor(candidates);
  pick_result best;
  for (const endpoint_ptr& candidate : candidates) {
    if (!MayUse(now, *candidate, request)) {
      continue;
    }
    const bool has_room = HasRoom(*candidate, request);
    const std::chrono::duration<double, std::milli> expected{
        ExpectedMs(now, *candidate, request, Misses(predictor, *candidate, request))};
    const bool better = !best.chosen || (has_room && !best.has_room) ||
                        (has_room == best.has_room && expected < best.expected);
    if (better) {
      best = {candidate, has_room, expected};
    }
  }
  return best;
}

std::uint64_t endpoint_picker::CopyWeight(const endpoint& candidate,
                                          const pick_request& request,
                                          copy_purpose purpose,
                                          std::optional<bool> misses_pause) const {
  const std::uint64_t used = TotalLoad(candidate).tokens;
  const std::uint64_t memory = request.engine->memory_tokens;
  std::uint64_t weight = memory > used ? memory - used : 1;
  if (purpose == copy_purpose::kBackup) {
    weight *= misses_pause.value_or(true) ? options_.backup_weight : 1;
  } else if (!misses_pause) {
    weight = std::max<std::uint64_t>(1, weight / options_.unknown_pause_divisor);
  } else if (*misses_pause) {
    // The generation would go on there and pause too long; kept as a last resort.
    weight = 1;
  }
  const bool preferred = candidate.entry.failure_domain == request.preferred_failure_domain;
  return preferred ? weight * options_.preferred_domain_weight : weight;
}

pick_result endpoint_picker::PickCopy(time_point now,
                                      const endpoint_registry& registry,
                                      const pick_request& request,
                                      copy_purpose purpose,
                                      std::uint64_t entropy) const {
  struct choice {
    endpoint_ptr engine;
    std::uint64_t weight;
  };
  const std::vector<endpoint_ptr>& candidates = registry.OfService(request.service);
  const pause_predictor predictor(candidates);
  std::vector<choice> choices;
  std::uint64_t total = 0;
  for (const endpoint_ptr& candidate : candidates) {
    if (request.engine == nullptr || !MayUse(now, *candidate, request) ||
        !HasRoom(*candidate, request)) {
      continue;
    }
    const std::uint64_t weight =
        CopyWeight(*candidate, request, purpose, Misses(predictor, *candidate, request));
    choices.push_back({candidate, weight});
    total += weight;
  }
  if (choices.empty()) {
    return Pick(now, registry, request);
  }
  std::uint64_t point = entropy % total;
  const auto chosen = std::ranges::find_if(choices, [&](const choice& candidate) {
    if (point < candidate.weight) {
      return true;
    }
    point -= candidate.weight;
    return false;
  });
  return {chosen->engine, true, {}};
}

}  // namespace tarragon::routing
