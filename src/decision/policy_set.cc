#include "decision/policy_set.h"

#include <algorithm>
#include <cmath>
#include <string_view>

#include "tarragon/base/hash.h"
#include "tarragon/base/invariant.h"
#include "tarragon/decision/gossip_limits.h"
#include "tarragon/policy/endpoint_subset.h"

namespace tarragon::decision {

namespace {

constexpr std::size_t kMaxPrefixes = 4096;
// Memory is reserved for an output length that nine in ten generations do not exceed.
constexpr double kReservedQuantile = 0.9;
constexpr double kMedianQuantile = 0.5;
// The memory ledger and the outlier detector are updated once per this many tokens, which bounds
// the cost per token.
constexpr std::uint32_t kTokensPerUpdate = 16;
// The first update happens earlier, since most short generations end before their 16th token.
constexpr std::uint32_t kTokensBeforeFirstUpdate = 4;
// Latencies of endpoints slower than their peers by this factor do not count for the hedge delay.
// If one call in twenty goes to a slow endpoint, the 95th percentile is the latency of that
// endpoint.
constexpr double kSlowLatencyFactor = 2;
// Demotion levels within one class priority; each starts at four times the tokens of the previous.
constexpr int kDemotionLevels = 4;
constexpr std::uint32_t kFirstDemotionTokens = 256;

account_id MakeAccountId(std::string_view name) {
  return {Hash64(name)};
}

}  // namespace

policy_set::policy_set(const engine_options& options,
                       endpoint_table& endpoints,
                       attempt_table& attempts)
    : options_(options), endpoints_(endpoints), attempts_(attempts), prefixes_(kMaxPrefixes) {}

service_policies& policy_set::ForService(const std::string& service) {
  return services_.try_emplace(service, options_).first->second;
}

void policy_set::ApplyDocument(const document::operating_document& document) {
  endpoints_.ApplyDocument(document);
  for (const endpoint_state& removed :
       endpoints_.RemoveUnused([this](const endpoint_state& endpoint) {
         return attempts_.CountsAt(endpoint.index).in_flight == 0;
       })) {
    ForService(removed.service).outliers.Remove(removed.index);
    concurrency_.Reset(removed.index);
    memory_.SetEndpointMemory(removed.index, 0, 0, 0);
    prefixes_.Remove(removed.index);
    history_.erase(removed.index);
  }
  for (auto& [name, service] : services_) {
    service.endpoints.clear();
  }
  for (const auto& settings : document.contents().services) {
    UpdateSubset(document, settings.name);
  }
  for (const auto& account : document.contents().accounts) {
    accounts.SetRate(MakeAccountId(account.name), account.requests_per_second);
  }
}

void policy_set::UpdateSubset(const document::operating_document& document,
                              const std::string& name) {
  service_policies& service = ForService(name);
  const auto& all = endpoints_.FindByService(name);
  std::vector<std::string_view> vms;
  for (const auto& vm : document.contents().vms) {
    vms.emplace_back(vm.name);
  }
  std::vector<policy::subset_endpoint> named;
  named.reserve(all.size());
  for (const endpoint_state* endpoint : all) {
    named.push_back({endpoint->name, endpoint->failure_domain});
  }
  for (const std::size_t position : policy::endpoint_subset::Compute(options_.own_vm, vms, named)) {
    service.endpoints.push_back(all[position]);
    service.outliers.Add(all[position]->index);
  }
}

void policy_set::OnLoadReport(time_point now, const load_reported& report) {
  endpoints_.RecordLoad(now, report);
  const endpoint_state* endpoint = endpoints_.Find(report.endpoint);
  if (endpoint == nullptr) {
    return;
  }
  concurrency_.SetSlots(endpoint->index, report.slots);
  const std::uint64_t own = memory_.OwnHeldMemory(endpoint->index);
  const std::uint64_t others =
      report.memory_tokens_used > own ? report.memory_tokens_used - own : 0;
  const std::uint32_t streams = peers_.InFlight(endpoint->gossip_hash);
  memory_.SetEndpointMemory(endpoint->index, report.memory_tokens_total, others, streams);
}

void policy_set::OnCacheChange(const cache_changed& change) {
  if (const endpoint_state* endpoint = endpoints_.Find(change.endpoint)) {
    prefixes_.Apply(endpoint->index, change);
  }
}

void policy_set::OnPeerState(time_point now, const peer_state_received& peer) {
  peers_.Set(peer.vm, peer.state.endpoints);
  std::vector<policy::account_demand> demand;
  demand.reserve(peer.state.accounts.size());
  for (const account_usage& usage : peer.state.accounts) {
    demand.push_back({usage.account, usage.requests_per_second});
  }
  accounts.SetPeerDemand(peer.vm, demand);
  std::vector<policy::suspect_crashes> crashes;
  crashes.reserve(peer.state.suspects.size());
  for (const suspect_report& report : peer.state.suspects) {
    crashes.push_back({report.request_fingerprint, report.crashes, report.cleared});
  }
  suspects.Merge(now, peer.vm, crashes);
}

void policy_set::OnPeerLost(const std::string& vm) {
  peers_.Remove(vm);
  accounts.RemovePeer(vm);
}

void policy_set::Tick(time_point now) {
  for (auto& [name, service] : services_) {
    service.outliers.Update(now);
  }
  suspects.Expire(now);
}

std::uint32_t policy_set::PredictTokens(const request_record& record,
                                        std::uint32_t tokens_so_far) const {
  const std::uint32_t predicted = lengths_.Predict(record.class_settings.name, record.account,
                                                   tokens_so_far, kReservedQuantile);
  const std::uint32_t bound = record.properties.max_tokens;
  return bound == 0 ? predicted : std::min(predicted, std::max(bound, tokens_so_far + 1));
}

std::uint32_t policy_set::MedianTokens(const request_record& record) const {
  const std::uint32_t typical = std::max(
      record.max_tokens_produced, lengths_.Predict(record.class_settings.name, record.account,
                                                   record.max_tokens_produced, kMedianQuantile));
  const std::uint32_t bound = record.properties.max_tokens;
  return bound == 0 ? typical : std::min(typical, bound);
}

duration policy_set::MedianDuration(const request_record& record,
                                    const service_policies& service) const {
  return service.outliers.Median(policy::latency_kind::kBetweenTokens) * MedianTokens(record);
}

policy::request_length policy_set::PredictRequestLength(const request_record& record) const {
  const bool is_long =
      record.is_generation() && MedianTokens(record) >= options_.min_long_request_tokens;
  return is_long ? policy::request_length::kLong : policy::request_length::kShort;
}

int policy_set::ComputePriority(const request_record& record) const {
  int level = 0;
  if (options_.demote_long_requests && record.is_generation()) {
    std::uint32_t length = MedianTokens(record);
    for (; level < kDemotionLevels - 1 && length > kFirstDemotionTokens; length /= 4) {
      ++level;
    }
  }
  return record.class_settings.priority * kDemotionLevels + level;
}

policy::stream_memory policy_set::PredictMemory(const request_record& record,
                                                std::uint32_t produced) const {
  return {record.properties.prompt_tokens + produced, PredictTokens(record, produced) - produced};
}

bool policy_set::IsEligible(time_point now,
                            const request_record& record,
                            const service_policies& service,
                            const endpoint_state& endpoint,
                            const placement_requirements& requirements) const {
  if (endpoint.is_leaving() || now < endpoint.blocked_until) {
    return false;
  }
  if (options_.eject_outliers && !service.outliers.CanSend(endpoint.index)) {
    return false;
  }
  if (options_.isolate_suspects &&
      !suspects.CanRun(record.properties.request_fingerprint, endpoint.index)) {
    return false;
  }
  const attempt_table::endpoint_counts own = attempts_.CountsAt(endpoint.index);
  const std::uint32_t total = own.in_flight + peers_.InFlight(endpoint.gossip_hash);
  const std::uint32_t ahead = InFlightAhead(requirements, endpoint);
  if (options_.limit_concurrency &&
      !concurrency_.CanAdmit(endpoint.index, {ahead, own.long_requests}, requirements.length)) {
    return false;
  }
  const bool bypasses_memory = options_.urgent_bypass && record.class_settings.urgent;
  // An idle endpoint accepts any request, so that one larger than the memory can still run alone.
  return !options_.memory_admission || !record.is_generation() || bypasses_memory || total == 0 ||
         memory_.Fits(endpoint.index, requirements.memory);
}

policy_set::placement_requirements policy_set::ComputeRequirements(
    const request_record& record,
    const service_policies& service) const {
  placement_requirements requirements;
  requirements.length = PredictRequestLength(record);
  if (!record.is_generation()) {
    return requirements;
  }
  requirements.memory = PredictMemory(record, 0);
  if (!options_.urgent_bypass || !record.class_settings.urgent) {
    return requirements;
  }
  // Model engines serve by priority, so an urgent request waits only for other urgent ones. If it
  // were queued here, it would wait for long requests that the engine would preempt for it.
  attempt_table::endpoint_counts all;
  for (const endpoint_state* endpoint : service.endpoints) {
    const attempt_table::endpoint_counts counts = attempts_.CountsAt(endpoint->index);
    all.in_flight += counts.in_flight;
    all.urgent += counts.urgent;
  }
  requirements.share_ahead = all.in_flight == 0 ? 1.0 : double(all.urgent) / all.in_flight;
  return requirements;
}

std::uint32_t policy_set::InFlightAhead(const placement_requirements& requirements,
                                        const endpoint_state& endpoint) const {
  const attempt_table::endpoint_counts own = attempts_.CountsAt(endpoint.index);
  const std::uint32_t peers = peers_.InFlight(endpoint.gossip_hash);
  if (requirements.share_ahead >= 1) {
    return own.in_flight + peers;
  }
  // Peers report only totals; their share of urgent requests is assumed to equal this entry's.
  return own.urgent + static_cast<std::uint32_t>(std::lround(requirements.share_ahead * peers));
}

policy::endpoint_candidate policy_set::MakeCandidate(time_point now,
                                                     const request_record& record,
                                                     const service_policies& service,
                                                     const endpoint_state& endpoint) const {
  policy::endpoint_candidate candidate;
  candidate.prefix_hit = prefixes_.Holds(endpoint.index, record.properties.prefix_hash);
  candidate.own_in_flight = attempts_.CountsAt(endpoint.index).in_flight;
  candidate.peer_in_flight = peers_.InFlight(endpoint.gossip_hash);
  candidate.reported_running = endpoint.load.running;
  candidate.reported_waiting = endpoint.load.waiting;
  candidate.slots = endpoint.load.slots;
  candidate.report_age = now - endpoint.load_measured_at;
  const auto history = history_.find(endpoint.index);
  if (history != history_.end()) {
    candidate.own_in_flight_at_report =
        static_cast<std::uint32_t>(history->second.At(endpoint.load_measured_at));
  }
  candidate.memory_reserved = memory_.Peak(endpoint.index);
  candidate.memory_total = memory_.Total(endpoint.index);
  candidate.latency_factor = service.outliers.LatencyFactor(endpoint.index);
  return candidate;
}

const endpoint_state* policy_set::Choose(time_point now,
                                         const request_record& record,
                                         std::mt19937_64& random) {
  service_policies& service = ForService(record.properties.service);
  const placement_requirements requirements = ComputeRequirements(record, service);
  candidates_.assign(service.endpoints.size(), {});
  bool preferred = false;
  for (std::size_t i = 0; i < candidates_.size(); ++i) {
    const endpoint_state& endpoint = *service.endpoints[i];
    candidates_[i].eligible = false;
    if (IsEligible(now, record, service, endpoint, requirements)) {
      candidates_[i] = MakeCandidate(now, record, service, endpoint);
      preferred = preferred || !record.Avoids(endpoint.name);
    }
  }
  for (std::size_t i = 0; i < candidates_.size(); ++i) {
    const bool avoided = record.Avoids(service.endpoints[i]->name);
    // An endpoint that declined or failed the request is used again only if no other is eligible.
    candidates_[i].eligible = candidates_[i].eligible && (!preferred || !avoided);
  }
  const auto chosen = service.selector.Choose(candidates_, random);
  return chosen ? service.endpoints[*chosen] : nullptr;
}

void policy_set::RecordInFlight(time_point now, const attempt_record& attempt, int change) {
  const std::int64_t in_flight = attempts_.CountsAt(attempt.index).in_flight;
  history_[attempt.index].Record(now, static_cast<std::uint64_t>(in_flight + change));
}

void policy_set::OnAttemptAdded(time_point now,
                                const request_record& record,
                                attempt_record& attempt) {
  attempt.in_flight_at_send = attempts_.CountsAt(attempt.index).in_flight + 1 +
                              peers_.InFlight(peer_counts::GossipHash(attempt.endpoint));
  attempt.is_long = PredictRequestLength(record) == policy::request_length::kLong;
  attempt.urgent = record.class_settings.urgent;
  attempt.holds_suspect_slot = options_.isolate_suspects &&
                               suspects.IsSuspect(attempt.request_fingerprint) &&
                               suspects.TryAssign(attempt.request_fingerprint, attempt.index);
  if (record.is_generation()) {
    memory_.Reserve(attempt.id, attempt.index, PredictMemory(record, record.cursor.next_index()));
  }
  RecordInFlight(now, attempt, 1);
  service_policies& service = ForService(record.properties.service);
  // Without ejection, half-open endpoints receive requests like any other, and none is a probe.
  if (options_.eject_outliers && !attempt.is_resume &&
      service.outliers.Health(attempt.index) == policy::endpoint_health::kHalfOpen) {
    service.outliers.BeginProbe(now, attempt.index);
  }
}

void policy_set::OnAttemptRemoved(time_point now, const attempt_record& attempt) {
  memory_.Release(attempt.id);
  if (attempt.holds_suspect_slot) {
    suspects.Release(attempt.request_fingerprint, attempt.index);
  }
  RecordInFlight(now, attempt, -1);
}

void policy_set::OnFirstAnswer(time_point now,
                               const request_record& record,
                               const attempt_record& attempt) {
  if (attempt.is_resume) {
    return;
  }
  const duration latency = now - attempt.sent_at;
  concurrency_.RecordLatency(attempt.index, latency, attempt.in_flight_at_send);
  policy::outlier_detector& outliers = ForService(record.properties.service).outliers;
  if (outliers.LatencyFactor(attempt.index) < kSlowLatencyFactor) {
    hedges.Record(record.class_settings.name, latency);
  }
  if (!record.is_generation()) {
    outliers.RecordLatency(now, attempt.index, policy::latency_kind::kService, latency);
  }
}

void policy_set::OnToken(time_point now, const request_record& record, attempt_record& attempt) {
  if (attempt.tokens_per_update == 0) {
    // The time to first token is not an inter-token latency.
    attempt.tokens_per_update = kTokensBeforeFirstUpdate;
    attempt.window_start = now;
    return;
  }
  if (++attempt.window_tokens < attempt.tokens_per_update) {
    return;
  }
  RecordInterTokenLatency(now, record, attempt);
  attempt.window_start = now;
  attempt.window_tokens = 0;
  attempt.tokens_per_update = kTokensPerUpdate;
  memory_.Adjust(attempt.id, PredictMemory(record, record.cursor.next_index()));
}

void policy_set::RecordInterTokenLatency(time_point now,
                                         const request_record& record,
                                         const attempt_record& attempt) {
  const duration latency = (now - attempt.window_start) / attempt.window_tokens;
  policy::outlier_detector& outliers = ForService(record.properties.service).outliers;
  outliers.RecordLatency(now, attempt.index, policy::latency_kind::kBetweenTokens, latency);
  if (outliers.Health(attempt.index) == policy::endpoint_health::kHalfOpen) {
    // A long generation used as a probe would time out before its end.
    outliers.RecordSuccess(now, attempt.index);
  }
}

void policy_set::OnCompleted(time_point now,
                             const request_record& record,
                             const attempt_record& attempt) {
  if (record.is_generation()) {
    lengths_.Record(record.class_settings.name, record.account, record.cursor.next_index());
    if (attempt.window_tokens >= kTokensBeforeFirstUpdate) {
      RecordInterTokenLatency(now, record, attempt);
    }
  }
  suspects.RecordCompleted(attempt.request_fingerprint);
  ForService(record.properties.service).outliers.RecordSuccess(now, attempt.index);
}

void policy_set::OnFailure(time_point now,
                           const request_record& record,
                           const attempt_record& attempt) {
  ForService(record.properties.service).outliers.RecordFailure(now, attempt.index);
}

void policy_set::OnDeclined(const attempt_record& attempt) {
  concurrency_.RecordDecline(attempt.index);
}

void policy_set::FillLocalState(time_point now, peer_state& local) const {
  for (const auto& [name, endpoint] : endpoints_.all()) {
    const std::uint32_t in_flight = attempts_.CountsAt(endpoint.index).in_flight;
    if (in_flight > 0) {
      local.endpoints.push_back(
          {endpoint.gossip_hash, static_cast<std::uint16_t>(std::min(in_flight, 65535U))});
    }
  }
  for (const auto& demand : accounts.LocalDemand(now, kMaxGossipAccounts)) {
    local.accounts.push_back({demand.account, static_cast<float>(demand.requests_per_second)});
  }
  const auto byte = [](std::uint32_t count) {
    return static_cast<std::uint8_t>(std::min(count, 255U));
  };
  for (const auto& report : suspects.LocalReports(now, kMaxGossipSuspects)) {
    local.suspects.push_back(
        {report.request_fingerprint, byte(report.crashes), byte(report.cleared)});
  }
}

void policy_set::Validate() const {
  memory_.Validate();
  concurrency_.Validate();
  suspects.Validate();
  accounts.Validate();
  peers_.Validate();
  for (const auto& [name, service] : services_) {
    service.queue.Validate();
    service.outliers.Validate();
    service.budget.Validate();
  }
}

}  // namespace tarragon::decision
