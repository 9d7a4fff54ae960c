#include "tarragon/membership/swim_member.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "tarragon/base/hash.h"
#include "tarragon/base/invariant.h"

namespace tarragon::membership {

namespace {

using wire::member_record;
using wire::member_state;
using wire::probe_kind;
using wire::probe_message;

// Each round announces a new document version to random members. With a fanout of 3 and 30% loss,
// one round misses a member with a probability of about e^-2.1 = 12%, and four with 0.02%.
constexpr int kAnnounceRounds = 4;
constexpr std::chrono::milliseconds kAnnounceInterval{200};
constexpr int kLeaveDatagrams = 6;
constexpr std::chrono::milliseconds kTickResolution{50};
// The process counts as stalled if two ticks are at least this many periods apart.
constexpr int kStallPeriods = 2;
constexpr std::size_t kMaxForwardedPings = 256;
// In the steady state, requests for the member list are at least 30 periods (30 s by default) apart
// and return at most 6 records per period on average: less than half a datagram per second.
constexpr std::uint64_t kMinSyncPeriods = 30;
constexpr std::size_t kSyncRecordsPerPeriod = 6;

bool IsDeadOrLeft(member_state state) {
  return state == member_state::kDead || state == member_state::kLeft;
}

std::uint32_t HashMemberName(const std::string& name) {
  // 0 means that no member reported the state.
  return static_cast<std::uint32_t>(Hash64(name)) | 1U;
}

/**
 * Precedence of the states within one incarnation. The more severe state wins, because only the
 * member itself can refute it, with a higher incarnation.
 */
int Severity(member_state state) {
  switch (state) {
    case member_state::kAlive:
      return 0;
    case member_state::kSuspect:
      return 1;
    case member_state::kDead:
    case member_state::kLeft:
      return 2;
  }
  return 0;
}

}  // namespace

swim_member::swim_member(swim_options options, std::uint64_t seed)
    : options_(std::move(options)), random_(seed) {
  TARRAGON_INVARIANT(!options_.name.empty() && options_.name.size() <= wire::kMaxMemberName,
                     "member name must have 1 to 24 bytes");
  self_.name = wire::member_name::From(options_.name);
  self_.gossip = options_.gossip;
  self_.document_port = options_.document_port;
  self_.incarnation = options_.incarnation;
}

void swim_member::HandleDatagram(time_point now,
                                 const wire::peer_address& from,
                                 std::string_view bytes,
                                 swim_output& output) {
  ++counters_.datagrams_received;
  counters_.bytes_received += bytes.size();
  const std::optional<wire::datagram> message = wire::Decode(bytes, options_.key);
  if (!message) {
    ++counters_.datagrams_malformed;
    return;
  }
  std::visit([&](const auto& content) { HandleMessage(now, from, content, output); }, *message);
}

void swim_member::HandleMessage(time_point now,
                                const wire::peer_address& from,
                                const probe_message& message,
                                swim_output& output) {
  RecordContact(now, message.sender, message.document_version, output);
  for (std::size_t i = 0; i < message.update_count; ++i) {
    ApplyRecord(now, message.updates[i], output);
  }
  SetLeaseHint(
      {.fencing_number = message.lease_fencing_number, .holder = message.lease_holder.Text()});
  member* sender = FindMember(message.sender.name.Text());
  // A datagram that arrives late must not replace the payload of a newer one.
  if (sender != nullptr && message.payload.sequence > sender->payload_sequence) {
    sender->payload_sequence = message.payload.sequence;
    output.peer_states.push_back(
        {.vm = message.sender.name.Text(), .state = wire::FromPayload(message.payload)});
  }
  switch (message.kind) {
    case probe_kind::kPing: {
      const std::string target_name = message.target.name.Text();
      // The probe may be for a VM that had this address before; such a probe must fail.
      if (target_name.empty() || target_name == options_.name) {
        Send(from, MakeProbe(probe_kind::kAck, message.sequence, self_), output);
      }
      break;
    }
    case probe_kind::kPingRequest:
      ForwardPing(now, from, message, output);
      break;
    case probe_kind::kAck:
      HandleAck(now, message, output);
      break;
    case probe_kind::kNack:
      if (probe_ && probe_->sequence == message.sequence && probe_->nacks_missing > 0) {
        --probe_->nacks_missing;
      }
      break;
  }
}

void swim_member::HandleMessage(time_point now,
                                const wire::peer_address& from,
                                const wire::announce_message& message,
                                swim_output& output) {
  RecordContact(now, message.sender, message.document_version, output);
  if (message.document_version < document_version_) {
    Send(from, wire::announce_message{.sender = self_, .document_version = document_version_},
         output);
  }
}

void swim_member::HandleMessage(time_point now,
                                const wire::peer_address& from,
                                const wire::sync_message& message,
                                swim_output& output) {
  RecordContact(now, message.sender, message.document_version, output);
  for (std::size_t i = 0; i < message.record_count; ++i) {
    ApplyRecord(now, message.records[i], output);
  }
  if (message.wants_response) {
    SendMemberList(from, output);
  }
}

void swim_member::HandleAck(time_point /*now*/, const probe_message& message, swim_output& output) {
  if (probe_ && probe_->sequence == message.sequence &&
      message.target.name.Text() == probe_->target && !probe_->acked) {
    probe_->acked = true;
    AdjustLocalHealth(-1);
    return;
  }
  const auto found = forwarded_pings_.find(message.sequence);
  if (found == forwarded_pings_.end() || found->second.target.name != message.target.name) {
    return;
  }
  Send(found->second.requester,
       MakeProbe(probe_kind::kAck, found->second.requester_sequence, message.target), output);
  forwarded_pings_.erase(found);
}

void swim_member::ForwardPing(time_point now,
                              const wire::peer_address& from,
                              const probe_message& message,
                              swim_output& output) {
  if (forwarded_pings_.size() >= kMaxForwardedPings || message.target.gossip.port == 0) {
    return;
  }
  const std::uint64_t sequence = ++last_sequence_;
  forwarded_pings_[sequence] = {.requester = from,
                                .requester_sequence = message.sequence,
                                .target = message.target,
                                .nack_at = now + options_.ack_timeout,
                                .nack_sent = false};
  Send(message.target.gossip, MakeProbe(probe_kind::kPing, sequence, message.target), output);
}

void swim_member::RecordContact(time_point now,
                                const member_record& sender,
                                std::uint64_t version,
                                swim_output& output) {
  ApplyRecord(now, sender, output);
  member* known = FindMember(sender.name.Text());
  if (known == nullptr) {
    return;
  }
  RecordDocumentVersion(now, *known, version);
  if (version > document_version_) {
    wire::peer_address address = sender.gossip;
    address.port = sender.document_port;
    output.newer_documents.push_back(
        {.member = sender.name.Text(), .document_address = address, .version = version});
  }
}

void swim_member::ApplyRecord(time_point now, const member_record& record, swim_output& output) {
  const std::string name = record.name.Text();
  if (name == options_.name) {
    ApplyRecordAboutSelf(record);
    return;
  }
  member* known = FindMember(name);
  if (known == nullptr) {
    // Ignores unknown members that are dead or have left.
    if (!IsDeadOrLeft(record.state)) {
      AddMember(now, record, output);
    }
    return;
  }
  RecordDocumentVersion(now, *known, record.document_version);
  ApplyRecordToMember(now, *known, record, output);
}

void swim_member::ApplyRecordAboutSelf(const member_record& record) {
  const bool is_reported_down = record.state != member_state::kAlive;
  if (self_.state != member_state::kAlive || record.incarnation < self_.incarnation ||
      (!is_reported_down && record.incarnation == self_.incarnation)) {
    return;
  }
  // Refutes a report that this member is suspect, dead or has left, or supersedes an earlier
  // process of the same name whose clock was ahead.
  self_.incarnation = record.incarnation + 1;
  ++counters_.refutations;
  if (is_reported_down) {
    AdjustLocalHealth(+1);
  }
  QueueUpdate(self_, true);
}

void swim_member::AddMember(time_point now, const member_record& record, swim_output& output) {
  const std::string name = record.name.Text();
  member added;
  added.record = record;
  added.record.state = member_state::kAlive;
  added.state_since = now;
  probe_order_.push_back(name);
  // Inserts the member at a random position of the current probe round, so that new members are not
  // probed in order of arrival.
  std::uniform_int_distribution<std::size_t> place(
      std::min(next_probe_index_, probe_order_.size() - 1), probe_order_.size() - 1);
  std::swap(probe_order_[place(random_)], probe_order_.back());
  member& known = members_.emplace(name, std::move(added)).first->second;
  RecordDocumentVersion(now, known, record.document_version);
  ++alive_count_;
  output.changes.push_back({.name = name, .state = member_state::kAlive});
  QueueUpdate(known.record, false);
  if (record.state == member_state::kSuspect) {
    ApplyRecordToMember(now, known, record, output);
  }
}

void swim_member::ApplyRecordToMember(time_point now,
                                      member& known,
                                      const member_record& record,
                                      swim_output& output) {
  const std::uint64_t known_incarnation = known.record.incarnation;
  if (record.incarnation < known_incarnation) {
    return;
  }
  if (record.incarnation == known_incarnation) {
    if (record.state == member_state::kSuspect && known.active_suspicion &&
        known.active_suspicion->reporters.size() <=
            static_cast<std::size_t>(options_.target_confirmations) &&
        known.active_suspicion->reporters.insert(record.reporter_hash).second) {
      // An independent confirmation shortens the suspicion timeout and is disseminated.
      QueueUpdate(record, true);
    }
    if (Severity(record.state) <= Severity(known.record.state)) {
      return;
    }
  }
  ChangeState(now, known, record, output);
}

void swim_member::ChangeState(time_point now,
                              member& known,
                              const member_record& record,
                              swim_output& output) {
  const std::string name = record.name.Text();
  const member_state state_before = known.record.state;
  TARRAGON_INVARIANT(record.incarnation >= known.record.incarnation,
                     "incarnation of a member must not decrease");
  if (record.incarnation > known.record.incarnation) {
    // A restarted process numbers its payloads from the start and may have an older document.
    if (record.state == member_state::kAlive && IsDeadOrLeft(state_before)) {
      known.payload_sequence = 0;
    }
  }
  const std::uint32_t known_version = known.record.document_version;
  known.record = record;
  known.record.document_version = std::max(known_version, record.document_version);
  known.state_since = now;
  known.active_suspicion.reset();
  suspects_.erase(name);
  if (record.state == member_state::kSuspect) {
    known.active_suspicion = suspicion{.since = now, .reporters = {record.reporter_hash}};
    suspects_.insert(name);
    ++counters_.suspicions;
  }
  if (IsDeadOrLeft(record.state) && !IsDeadOrLeft(state_before)) {
    --alive_count_;
    dead_or_left_.insert(name);
  } else if (!IsDeadOrLeft(record.state) && IsDeadOrLeft(state_before)) {
    ++alive_count_;
    dead_or_left_.erase(name);
  }
  if (state_before != record.state) {
    output.changes.push_back({.name = name, .state = record.state});
  }
  QueueUpdate(known.record, state_before != record.state);
}

void swim_member::RecordDocumentVersion(time_point now, member& known, std::uint64_t version) {
  if (version > known.document_version) {
    known.document_version = version;
    known.record.document_version = static_cast<std::uint32_t>(version);
    known.version_since = now;
  }
}

void swim_member::Tick(time_point now, swim_output& output) {
  CompensateForStall(now);
  SendNacks(now, output);
  ExpireSuspicions(now, output);
  if (probe_ && !probe_->acked && !probe_->ping_requests_sent && now >= probe_->ping_requests_at) {
    SendPingRequests(output);
  }
  if (announce_rounds_left_ > 0 && now >= next_announce_at_) {
    SendAnnouncements(now, output);
  }
  if (now >= next_period_at_) {
    EndProbe(now, output);
    StartProbe(now, output);
    ++periods_;
    if (periods_ >= next_sync_period_) {
      SendSyncRequest(output);
    }
    if (periods_ % static_cast<std::uint64_t>(options_.rejoin_interval_periods) == 1) {
      ContactUnreachableMember(output);
      RemoveExpiredMembers(now);
    }
  }
  last_tick_ = now;
}

time_point swim_member::NextTick() const {
  return last_tick_ ? *last_tick_ + kTickResolution : time_point();
}

// Acks and refutations that arrived while the process was stalled have not been handled yet, so the
// duration of the stall must not count against other members.
void swim_member::CompensateForStall(time_point now) {
  if (!last_tick_ || now - *last_tick_ < kStallPeriods * options_.period) {
    return;
  }
  ++counters_.stalls;
  const duration gap = now - *last_tick_;
  for (const std::string& name : suspects_) {
    members_.at(name).active_suspicion->since += gap;
  }
  probe_.reset();
  forwarded_pings_.clear();
  next_period_at_ = now + options_.period;
  AdjustLocalHealth(+1);
}

void swim_member::EndProbe(time_point now, swim_output& output) {
  if (!probe_) {
    return;
  }
  const probe ended = *std::exchange(probe_, std::nullopt);
  if (ended.acked) {
    return;
  }
  ++counters_.probes_failed;
  // A nack from a member that was asked to ping shows that the local process can communicate.
  // Missing nacks suggest that the local process is at fault (Lifeguard).
  AdjustLocalHealth(ended.ping_request_count > 0 ? ended.nacks_missing : 1);
  member* target = FindMember(ended.target);
  if (target == nullptr || IsDeadOrLeft(target->record.state)) {
    return;
  }
  member_record suspicion_record = target->record;
  suspicion_record.state = member_state::kSuspect;
  suspicion_record.reporter_hash = HashMemberName(options_.name);
  ApplyRecordToMember(now, *target, suspicion_record, output);
}

void swim_member::StartProbe(time_point now, swim_output& output) {
  next_period_at_ = now + ScaleByLocalHealth(options_.period);
  member* target = NextProbeTarget();
  if (target == nullptr) {
    return;
  }
  probe started;
  started.sequence = ++last_sequence_;
  started.target = target->record.name.Text();
  started.ping_requests_at = now + ScaleByLocalHealth(options_.ack_timeout);
  started.period_ends_at = next_period_at_;
  probe_ = started;
  Send(target->record.gossip, MakeProbe(probe_kind::kPing, started.sequence, target->record),
       output);
}

void swim_member::SendPingRequests(swim_output& output) {
  probe_->ping_requests_sent = true;
  const member* target = FindMember(probe_->target);
  if (target == nullptr) {
    return;
  }
  for (member* prober :
       PickRandomLiveMembers(static_cast<std::size_t>(options_.indirect_probes), probe_->target)) {
    ++probe_->ping_request_count;
    ++probe_->nacks_missing;
    Send(prober->record.gossip,
         MakeProbe(probe_kind::kPingRequest, probe_->sequence, target->record), output);
  }
}

void swim_member::SendNacks(time_point now, swim_output& output) {
  for (auto at = forwarded_pings_.begin(); at != forwarded_pings_.end();) {
    forwarded_ping& pending = at->second;
    if (now >= pending.nack_at && !pending.nack_sent) {
      pending.nack_sent = true;
      Send(pending.requester,
           MakeProbe(probe_kind::kNack, pending.requester_sequence, pending.target), output);
    }
    // An ack that arrives after the nack is still forwarded: the requester accepts it until the end
    // of its period.
    at = now >= pending.nack_at + options_.period ? forwarded_pings_.erase(at) : std::next(at);
  }
}

void swim_member::ExpireSuspicions(time_point now, swim_output& output) {
  std::vector<member_record> dead;
  for (const std::string& name : suspects_) {
    const member& suspect = members_.at(name);
    if (now - suspect.active_suspicion->since >= SuspicionTimeout(*suspect.active_suspicion)) {
      member_record record = suspect.record;
      record.state = member_state::kDead;
      record.reporter_hash = HashMemberName(options_.name);
      dead.push_back(record);
    }
  }
  for (const member_record& record : dead) {
    ++counters_.deaths_declared;
    ApplyRecordToMember(now, *FindMember(record.name.Text()), record, output);
  }
}

/** @return address of a random member that is dead or has left, or of a seed that is not live. */
std::optional<wire::peer_address> swim_member::PickUnreachableAddress() {
  std::vector<wire::peer_address> candidates;
  candidates.reserve(dead_or_left_.size() + 1);
  for (const std::string& name : dead_or_left_) {
    candidates.push_back(members_.at(name).record.gossip);
  }
  if (!options_.seeds.empty()) {
    std::uniform_int_distribution<std::size_t> pick(0, options_.seeds.size() - 1);
    const wire::peer_address seed = options_.seeds[pick(random_)];
    const bool live = std::ranges::any_of(members_, [&seed](const auto& entry) {
      return entry.second.record.gossip == seed && !IsDeadOrLeft(entry.second.record.state);
    });
    if (!live && seed != options_.gossip) {
      candidates.push_back(seed);
    }
  }
  if (candidates.empty()) {
    return std::nullopt;
  }
  std::uniform_int_distribution<std::size_t> pick(0, candidates.size() - 1);
  return candidates[pick(random_)];
}

// Contacts a dead member or a seed that is not live: after a partition, nobody else would do so.
void swim_member::ContactUnreachableMember(swim_output& output) {
  const std::optional<wire::peer_address> chosen = PickUnreachableAddress();
  if (!chosen) {
    return;
  }
  const wire::peer_address to = *chosen;
  member_record dead_record;
  for (const std::string& name : dead_or_left_) {
    const member& candidate = members_.at(name);
    if (candidate.record.gossip == to) {
      dead_record = candidate.record;
      break;
    }
  }
  // The ping carries the record of the dead member first, so that the member can refute it at once.
  probe_message ping = MakeProbe(probe_kind::kPing, ++last_sequence_, member_record{});
  if (dead_record.gossip.port != 0) {
    ping.update_count = 0;
    AddUpdates(ping, &dead_record);
  }
  Send(to, ping, output);
  Send(to, MakeSyncRequest(), output);
}

wire::sync_message swim_member::MakeSyncRequest() const {
  wire::sync_message sync;
  sync.sender = self_;
  sync.document_version = document_version_;
  sync.wants_response = true;
  return sync;
}

// Asks a random member for its whole member list. The interval doubles from the start of the
// process to a maximum. Short intervals at first let members that start together double the members
// that they know with each request. The maximum grows with the number of members, so that the bytes
// per second do not.
void swim_member::SendSyncRequest(swim_output& output) {
  const std::uint64_t max_interval_periods =
      std::max<std::uint64_t>(kMinSyncPeriods, probe_order_.size() / kSyncRecordsPerPeriod);
  sync_interval_periods_ = std::min(2 * sync_interval_periods_, max_interval_periods);
  next_sync_period_ = periods_ + sync_interval_periods_;
  for (const member* to : PickRandomLiveMembers(1, {})) {
    Send(to->record.gossip, MakeSyncRequest(), output);
  }
}

void swim_member::RemoveExpiredMembers(time_point now) {
  std::vector<std::string> expired;
  std::ranges::copy_if(
      dead_or_left_, std::back_inserter(expired), [this, now](const std::string& name) {
        return now - members_.at(name).state_since >= options_.dead_member_retention;
      });
  for (const std::string& name : expired) {
    dead_or_left_.erase(name);
    updates_.erase(name);
    members_.erase(name);
    std::erase(probe_order_, name);
  }
  next_probe_index_ = std::min(next_probe_index_, probe_order_.size());
}

void swim_member::SetDocumentVersion(time_point now, std::uint64_t version, swim_output& output) {
  TARRAGON_INVARIANT(version >= document_version_, "document version must not decrease");
  if (version == document_version_) {
    return;
  }
  document_version_ = version;
  self_.document_version = static_cast<std::uint32_t>(version);
  announce_rounds_left_ = kAnnounceRounds;
  SendAnnouncements(now, output);
}

void swim_member::SendAnnouncements(time_point now, swim_output& output) {
  --announce_rounds_left_;
  next_announce_at_ = now + kAnnounceInterval;
  for (const member* to : PickRandomLiveMembers(static_cast<std::size_t>(options_.announce_fanout),
                                                {}, document_version_)) {
    Send(to->record.gossip,
         wire::announce_message{.sender = self_, .document_version = document_version_}, output);
  }
}

void swim_member::SendMemberList(const wire::peer_address& to, swim_output& output) {
  wire::sync_message chunk;
  chunk.sender = self_;
  chunk.document_version = document_version_;
  for (const auto& [name, known] : members_) {
    chunk.records[chunk.record_count++] = known.record;
    if (chunk.record_count == wire::kRecordsPerSync) {
      Send(to, chunk, output);
      chunk.record_count = 0;
    }
  }
  if (chunk.record_count > 0) {
    Send(to, chunk, output);
  }
}

void swim_member::SetLocalState(const decision::peer_state& state) {
  payload_ = wire::ToPayload(state, payload_.sequence + 1);
}

void swim_member::SetLeaseHint(const lease_hint& hint) {
  if (hint.fencing_number > lease_hint_.fencing_number) {
    lease_hint_ = hint;
  }
}

void swim_member::Leave(time_point /*now*/, swim_output& output) {
  self_.state = member_state::kLeft;
  for (member* to : PickRandomLiveMembers(kLeaveDatagrams, {})) {
    Send(to->record.gossip,
         wire::announce_message{.sender = self_, .document_version = document_version_}, output);
  }
}

std::vector<member_view> swim_member::Members() const {
  std::vector<member_view> views;
  views.reserve(members_.size());
  for (const auto& [name, known] : members_) {
    views.push_back({.name = name,
                     .gossip = known.record.gossip,
                     .document_port = known.record.document_port,
                     .state = known.record.state,
                     .incarnation = known.record.incarnation,
                     .document_version = known.document_version,
                     .version_since = known.version_since});
  }
  return views;
}

swim_member::member* swim_member::FindMember(const std::string& name) {
  const auto found = members_.find(name);
  return found == members_.end() ? nullptr : &found->second;
}

// Round robin over a shuffled order bounds the time until each member is probed (SWIM).
swim_member::member* swim_member::NextProbeTarget() {
  for (std::size_t tried = 0; tried <= probe_order_.size(); ++tried) {
    if (next_probe_index_ >= probe_order_.size()) {
      std::ranges::shuffle(probe_order_, random_);
      next_probe_index_ = 0;
      if (probe_order_.empty()) {
        return nullptr;
      }
    }
    member& candidate = members_.at(probe_order_[next_probe_index_++]);
    if (!IsDeadOrLeft(candidate.record.state)) {
      return &candidate;
    }
  }
  return nullptr;
}

std::vector<swim_member::member*> swim_member::PickRandomLiveMembers(std::size_t count,
                                                                     const std::string& excluded,
                                                                     std::uint64_t below_version) {
  std::vector<member*> chosen;
  if (probe_order_.empty()) {
    return chosen;
  }
  // Random draws keep the cost independent of the member count. Groups of up to 16 members are
  // scanned in full.
  const std::size_t draws = 4 * count + probe_order_.size() * (probe_order_.size() <= 16 ? 1 : 0);
  std::uniform_int_distribution<std::size_t> pick(0, probe_order_.size() - 1);
  const std::size_t start = pick(random_);
  for (std::size_t i = 0; i < draws && chosen.size() < count; ++i) {
    const std::size_t index =
        probe_order_.size() <= 16 ? (start + i) % probe_order_.size() : pick(random_);
    member& candidate = members_.at(probe_order_[index]);
    if (!IsDeadOrLeft(candidate.record.state) && probe_order_[index] != excluded &&
        candidate.document_version < below_version &&
        std::ranges::find(chosen, &candidate) == chosen.end()) {
      chosen.push_back(&candidate);
    }
  }
  return chosen;
}

duration swim_member::SuspicionTimeout(const suspicion& current) const {
  const double members = static_cast<double>(std::max<std::size_t>(alive_count_ + 1, 10));
  const auto min_timeout = std::chrono::duration_cast<duration>(
      options_.period * (options_.suspicion_factor * std::log10(members)));
  const int needed_confirmations =
      std::min<int>(options_.target_confirmations, static_cast<int>(alive_count_) - 2);
  if (needed_confirmations < 1) {
    return min_timeout;
  }
  const auto received_confirmations = static_cast<double>(current.reporters.size()) - 1;
  const double share =
      std::min(1.0, std::log(received_confirmations + 1) / std::log(needed_confirmations + 1.0));
  const double ratio = options_.max_suspicion_ratio - (options_.max_suspicion_ratio - 1) * share;
  return std::chrono::duration_cast<duration>(min_timeout * ratio);
}

void swim_member::AdjustLocalHealth(int change) {
  local_health_ = std::clamp(local_health_ + change, 0, options_.max_local_health - 1);
}

void swim_member::QueueUpdate(const member_record& record, bool urgent) {
  updates_[record.name.Text()] = {.record = record, .sends = 0, .urgent = urgent};
}

void swim_member::AddUpdates(probe_message& message, const member_record* first) {
  const auto add = [&message](const member_record& record) {
    message.updates[message.update_count++] = record;
  };
  if (first != nullptr) {
    add(*first);
  }
  // State changes and refutations go first: behind the many joins of a start or a merge, a
  // refutation would arrive too late. Within each group, the updates with the fewest sends go
  // first.
  std::vector<std::map<std::string, queued_update>::iterator> queue;
  for (auto at = updates_.begin(); at != updates_.end(); ++at) {
    queue.push_back(at);
  }
  const std::size_t count = std::min(queue.size(), wire::kUpdatesPerProbe - message.update_count);
  std::ranges::partial_sort(
      queue, queue.begin() + static_cast<std::ptrdiff_t>(count), {},
      [](const auto& at) { return std::pair(!at->second.urgent, at->second.sends); });
  const int limit = static_cast<int>(
      std::ceil(options_.retransmit_factor * std::log10(static_cast<double>(alive_count_ + 2))));
  for (std::size_t i = 0; i < count; ++i) {
    add(queue[i]->second.record);
    if (++queue[i]->second.sends >= limit) {
      updates_.erase(queue[i]);
    }
  }
  // Fills unused entries with records of random members, because the datagram has a fixed size in
  // any case.
  std::uniform_int_distribution<std::size_t> pick(
      0, probe_order_.empty() ? 0 : probe_order_.size() - 1);
  while (!probe_order_.empty() && message.update_count < wire::kUpdatesPerProbe) {
    add(members_.at(probe_order_[pick(random_)]).record);
  }
}

probe_message swim_member::MakeProbe(probe_kind kind,
                                     std::uint64_t sequence,
                                     const member_record& target) {
  probe_message message;
  message.kind = kind;
  message.sequence = sequence;
  message.sender = self_;
  message.target = target;
  message.document_version = document_version_;
  message.lease_fencing_number = lease_hint_.fencing_number;
  message.lease_holder = wire::member_name::From(lease_hint_.holder);
  message.payload = payload_;
  // A ping to a suspect carries the suspicion, so that the suspect can refute it (Lifeguard's buddy
  // system).
  const bool is_suspect_pinged =
      kind == probe_kind::kPing && target.state == member_state::kSuspect;
  AddUpdates(message, is_suspect_pinged ? &target : nullptr);
  return message;
}

void swim_member::Send(const wire::peer_address& to,
                       const wire::datagram& message,
                       swim_output& output) {
  output.datagrams.push_back({.to = to, .bytes = wire::Encode(message, options_.key)});
  ++counters_.datagrams_sent;
  counters_.bytes_sent += output.datagrams.back().bytes.size();
}

void swim_member::Validate() const {
  TARRAGON_INVARIANT(!members_.contains(options_.name),
                     "the member list must not contain the local member");
  TARRAGON_INVARIANT(probe_order_.size() == members_.size(),
                     "the probe order must contain each member once");
  TARRAGON_INVARIANT(self_.incarnation >= options_.incarnation,
                     "local incarnation must not decrease");
  TARRAGON_INVARIANT(forwarded_pings_.size() <= kMaxForwardedPings,
                     "forwarded pings exceed kMaxForwardedPings");
  std::size_t alive = 0;
  for (const auto& [name, known] : members_) {
    const bool suspect = known.record.state == member_state::kSuspect;
    TARRAGON_INVARIANT(
        suspect == known.active_suspicion.has_value() && suspect == suspects_.contains(name),
        "exactly the suspects must have an active suspicion");
    TARRAGON_INVARIANT(IsDeadOrLeft(known.record.state) == dead_or_left_.contains(name),
                       "dead_or_left_ must list exactly the members that are dead or have left");
    alive += IsDeadOrLeft(known.record.state) ? 0 : 1;
  }
  TARRAGON_INVARIANT(alive == alive_count_, "alive_count_ must equal the number of live members");
  TARRAGON_INVARIANT(!probe_ || probe_->sequence <= last_sequence_,
                     "probe sequence number must have been issued");
}

}  // namespace tarragon::membership
