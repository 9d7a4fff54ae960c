#include "tarragon/routing/load_exchange.h"

#include <algorithm>
#include <iterator>
#include <ranges>
#include <utility>

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
    unapplied_.insert(hash);
  }
  neighbors_.erase(found);
}

void load_exchange::SetOwnLoads(const std::vector<endpoint_load_report>& reports) {
  std::size_t filled = 0;
  for (const endpoint_load_report& report : reports) {
    const auto known = own_.find(report.endpoint_hash);
    if (IsEmpty(report)) {
      if (known != own_.end()) {
        own_.erase(known);
        MarkChanged(report.endpoint_hash, nullptr);
      }
      continue;
    }
    ++filled;
    if (known == own_.end() || !SaysTheSame(known->second, report)) {
      own_.insert_or_assign(report.endpoint_hash, report);
      MarkChanged(report.endpoint_hash, nullptr);
    }
  }
  if (own_.size() > filled) {
    DropUnreported(reports);
  }
}

void load_exchange::DropUnreported(const std::vector<endpoint_load_report>& reports) {
  std::unordered_set<std::uint64_t> reported;
  std::ranges::transform(reports, std::inserter(reported, reported.end()),
                         &endpoint_load_report::endpoint_hash);
  std::vector<std::uint64_t> dropped;
  std::ranges::copy_if(own_ | std::views::keys, std::back_inserter(dropped),
                       [&](std::uint64_t hash) { return !reported.contains(hash); });
  std::ranges::for_each(dropped, [this](std::uint64_t hash) {
    own_.erase(hash);
    MarkChanged(hash, nullptr);
  });
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
    unapplied_.insert(report.endpoint_hash);
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

void load_exchange::ApplyTo(time_point now, endpoint& known) {
  const endpoint_load_report sum = Sum(known.id_hash, nullptr);
  SetPeerReport(now, known, sum);
  if (sum.limit.revision > 0 || sum.recent_sends > 0) {
    limited_.insert(known.id_hash);
  } else {
    limited_.erase(known.id_hash);
  }
}

void load_exchange::Apply(time_point now, endpoint_registry& registry) {
  if (std::exchange(applied_revision_, registry.list_revision()) != registry.list_revision()) {
    limited_.clear();
    unapplied_.clear();
    for (const endpoint_ptr& known : registry.all() | std::views::values) {
      ApplyTo(now, *known);
    }
    return;
  }
  unapplied_.insert(limited_.begin(), limited_.end());
  for (const std::uint64_t hash : std::exchange(unapplied_, {})) {
    if (const endpoint_ptr known = registry.FindByHash(hash)) {
      ApplyTo(now, *known);
    }
  }
}

void load_exchange::Validate() const {
  for (const neighbor& known : neighbors_ | std::views::values) {
    TARRAGON_INVARIANT(std::ranges::none_of(known.received | std::views::values, IsEmpty),
                       "an empty load is kept");
  }
}

}  // namespace tarragon::routing
