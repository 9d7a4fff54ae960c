#include "tarragon/routing/load_exchange.h"

#include <algorithm>
#include <iterator>
#include <ranges>
#include <utility>

#include "tarragon/base/hash.h"
#include "tarragon/base/invariant.h"

namespace tarragon::routing {

namespace {

bool IsEmpty(const endpoint_load_report& report) {
  return report.load == endpoint_load{} && report.event_interval.count() == 0 &&
         report.min_slowness_percent == 0 && report.recent_sends == 0 && report.limit.revision == 0;
}

bool SaysTheSame(const endpoint_load_report& a, const endpoint_load_report& b) {
  return a.load == b.load && a.event_interval == b.event_interval &&
         a.min_slowness_percent == b.min_slowness_percent && a.recent_sends == b.recent_sends &&
         a.limit == b.limit;
}

}  // namespace

bool load_exchange::IsForwarded(neighbor_kind from, neighbor_kind to) {
  return from == neighbor_kind::kTree || to == neighbor_kind::kTree;
}

void load_exchange::MarkChanged(std::uint64_t endpoint_hash, const neighbor* origin) {
  for (neighbor& known : neighbors_ | std::views::values) {
    if (&known != origin && (origin == nullptr || IsForwarded(origin->kind, known.kind))) {
      known.changed.insert(endpoint_hash);
    }
  }
}

void load_exchange::AddNeighbor(neighbor_id id, neighbor_kind kind) {
  const auto [position, added] = neighbors_.try_emplace(id);
  if (!added) {
    return;
  }
  neighbor& fresh = position->second;
  fresh.kind = kind;
  std::ranges::copy(own_ | std::views::keys, std::inserter(fresh.changed, fresh.changed.end()));
  for (const auto& [other_id, other] : neighbors_) {
    if (other_id != id && IsForwarded(other.kind, kind)) {
      std::ranges::copy(other.received | std::views::keys,
                        std::inserter(fresh.changed, fresh.changed.end()));
    }
  }
}

void load_exchange::RemoveNeighbor(neighbor_id id) {
  const auto found = neighbors_.find(id);
  if (found == neighbors_.end()) {
    return;
  }
  for (const std::uint64_t hash : found->second.received | std::views::keys) {
    MarkChanged(hash, &found->second);
  }
  neighbors_.erase(found);
}

void load_exchange::SetOwnLoads(const std::vector<endpoint_load_report>& reports) {
  report_map fresh;
  for (const endpoint_load_report& report : reports) {
    if (!IsEmpty(report)) {
      fresh.emplace(report.endpoint_hash, report);
    }
  }
  for (const auto& [hash, report] : fresh) {
    const auto known = own_.find(hash);
    if (known == own_.end() || !SaysTheSame(known->second, report)) {
      MarkChanged(hash, nullptr);
    }
  }
  for (const std::uint64_t hash : own_ | std::views::keys) {
    if (!fresh.contains(hash)) {
      MarkChanged(hash, nullptr);
    }
  }
  own_ = std::move(fresh);
}

void load_exchange::Receive(neighbor_id id, const std::vector<endpoint_load_report>& changes) {
  const auto found = neighbors_.find(id);
  if (found == neighbors_.end()) {
    return;
  }
  for (const endpoint_load_report& report : changes) {
    if (IsEmpty(report)) {
      found->second.received.erase(report.endpoint_hash);
    } else {
      found->second.received.insert_or_assign(report.endpoint_hash, report);
    }
    MarkChanged(report.endpoint_hash, &found->second);
  }
}

endpoint_load_report load_exchange::Sum(std::uint64_t endpoint_hash,
                                        const neighbor* receiver) const {
  endpoint_load_report sum;
  sum.endpoint_hash = endpoint_hash;
  const auto add = [&](const report_map& reports) {
    if (const auto found = reports.find(endpoint_hash); found != reports.end()) {
      AddReport(sum, found->second);
    }
  };
  if (receiver != nullptr) {
    add(own_);
  }
  for (const neighbor& known : neighbors_ | std::views::values) {
    if (&known != receiver && (receiver == nullptr || IsForwarded(known.kind, receiver->kind))) {
      add(known.received);
    }
  }
  return sum;
}

bool load_exchange::HasChanges(neighbor_id id) const {
  const auto found = neighbors_.find(id);
  return found != neighbors_.end() && !found->second.changed.empty();
}

std::vector<endpoint_load_report> load_exchange::TakeChanges(neighbor_id id,
                                                             std::size_t max_count) {
  std::vector<endpoint_load_report> changes;
  const auto found = neighbors_.find(id);
  if (found == neighbors_.end()) {
    return changes;
  }
  neighbor& receiver = found->second;
  while (!receiver.changed.empty() && changes.size() < max_count) {
    const auto next = receiver.changed.begin();
    const endpoint_load_report sum = Sum(*next, &receiver);
    const auto sent = receiver.sent.find(*next);
    const bool is_known =
        sent == receiver.sent.end() ? IsEmpty(sum) : SaysTheSame(sent->second, sum);
    if (!is_known) {
      changes.push_back(sum);
    }
    if (IsEmpty(sum)) {
      receiver.sent.erase(*next);
    } else {
      receiver.sent.insert_or_assign(*next, sum);
    }
    receiver.changed.erase(next);
  }
  return changes;
}

void load_exchange::Apply(time_point now, endpoint_registry& registry) const {
  for (const auto& [id, known] : registry.all()) {
    SetPeerReport(now, *known, Sum(Hash64(id), nullptr));
  }
}

void load_exchange::Validate() const {
  for (const neighbor& known : neighbors_ | std::views::values) {
    TARRAGON_INVARIANT(std::ranges::none_of(known.received | std::views::values, IsEmpty),
                       "an empty load is kept");
  }
}

}  // namespace tarragon::routing
