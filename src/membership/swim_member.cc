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

// A new version is announced four times to other members each. With a fanout of 3 and 30% loss one
// round leaves a member out with a chance of about e^-2.1 = 12%, four leave 0.02%.
constexpr int kAnnounceRounds = 4;
constexpr std::chrono::milliseconds kAnnounceInterval{200};
constexpr int kLeaveDatagrams = 6;
constexpr std::chrono::milliseconds kTickResolution{50};
// A gap of this many periods between two ticks means that the process did not run.
constexpr int kStallPeriods = 2;
constexpr std::size_t kMaxRelays = 256;
// At least 30 s between two exchanges of the member list, and at most 6 records per second: less
// than half a datagram per second.
constexpr std::uint64_t kMinSyncPeriods = 30;
constexpr std::size_t kSyncRecordsPerPeriod = 6;

bool IsGone(member_state state) {
  return state == member_state::kDead || state == member_state::kLeft;
}

std::uint32_t NameHash(const std::string& name) {
  // 0 stands for no accuser.
  return static_cast<std::uint32_t>(Hash64(name)) | 1U;
}

/** Order of claims of one incarnation: the worse one wins, as only the member can refute it. */
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

void swim_member::Handle(time_point now,
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
  HeardFrom(now, message.sender, message.document_version, output);
  for (std::size_t i = 0; i < message.update_count; ++i) {
    Apply(now, message.updates[i], output);
  }
  SetLeaseHint({.fencing = message.lease_fencing, .holder = message.lease_holder.Text()});
  member* sender = Find(message.sender.name.Text());
  // A late datagram must not bring back the counts of an earlier one.
  if (sender != nullptr && message.payload.sequence > sender->payload_sequence) {
    sender->payload_sequence = message.payload.sequence;
    output.payloads.push_back(
        {.vm = message.sender.name.Text(), .state = wire::FromPayload(message.payload)});
  }
  switch (message.kind) {
    case probe_kind::kPing: {
      const std::string wanted = message.target.name.Text();
      // Another VM may have had this address before; its probes must fail.
      if (wanted.empty() || wanted == options_.name) {
        Send(from, MakeProbe(probe_kind::kAck, message.sequence, self_), output);
      }
      break;
    }
    case probe_kind::kPingRequest:
      RelayPing(now, from, message, output);
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
  HeardFrom(now, message.sender, message.document_version, output);
  if (message.document_version < document_version_) {
    Send(from, wire::announce_message{.sender = self_, .document_version = document_version_},
         output);
  }
}

void swim_member::HandleMessage(time_point now,
                                const wire::peer_address& from,
                                const wire::sync_message& message,
                                swim_output& output) {
  HeardFrom(now, message.sender, message.document_version, output);
  for (std::size_t i = 0; i < message.record_count; ++i) {
    Apply(now, message.records[i], output);
  }
  if (message.wants_answer) {
    AnswerSync(from, output);
  }
}

void swim_member::HandleAck(time_point /*now*/, const probe_message& message, swim_output& output) {
  if (probe_ && probe_->sequence == message.sequence &&
      message.target.name.Text() == probe_->target && !probe_->acked) {
    probe_->acked = true;
    ChangeHealth(-1);
    return;
  }
  const auto found = relays_.find(message.sequence);
  if (found == relays_.end() || found->second.target.name != message.target.name) {
    return;
  }
  Send(found->second.requester,
       MakeProbe(probe_kind::kAck, found->second.requester_sequence, message.target), output);
  relays_.erase(found);
}

void swim_member::RelayPing(time_point now,
                            const wire::peer_address& from,
                            const probe_message& message,
                            swim_output& output) {
  if (relays_.size() >= kMaxRelays || message.target.gossip.port == 0) {
    return;
  }
  const std::uint64_t sequence = ++last_sequence_;
  relays_[sequence] = {.requester = from,
                       .requester_sequence = message.sequence,
                       .target = message.target,
                       .nack_at = now + options_.ack_timeout,
                       .nack_sent = false};
  Send(message.target.gossip, MakeProbe(probe_kind::kPing, sequence, message.target), output);
}

void swim_member::HeardFrom(time_point now,
                            const member_record& sender,
                            std::uint64_t version,
                            swim_output& output) {
  Apply(now, sender, output);
  member* known = Find(sender.name.Text());
  if (known == nullptr) {
    return;
  }
  NoteVersion(now, *known, version);
  if (version > document_version_) {
    wire::peer_address address = sender.gossip;
    address.port = sender.document_port;
    output.newer_documents.push_back(
        {.member = sender.name.Text(), .document_address = address, .version = version});
  }
}

void swim_member::Apply(time_point now, const member_record& record, swim_output& output) {
  const std::string name = record.name.Text();
  if (name == options_.name) {
    ApplyAboutSelf(record);
    return;
  }
  member* known = Find(name);
  if (known == nullptr) {
    // A gone member that was never known is not worth a change.
    if (!IsGone(record.state)) {
      AddMember(now, record, output);
    }
    return;
  }
  NoteVersion(now, *known, record.document_version);
  ApplyToMember(now, *known, record, output);
}

void swim_member::ApplyAboutSelf(const member_record& record) {
  const bool accused = record.state != member_state::kAlive;
  if (self_.state != member_state::kAlive || record.incarnation < self_.incarnation ||
      (!accused && record.incarnation == self_.incarnation)) {
    return;
  }
  // Either an accusation or a claim of an earlier process of this name, whose clock was ahead.
  self_.incarnation = record.incarnation + 1;
  ++counters_.refutations;
  if (accused) {
    ChangeHealth(+1);
  }
  Queue(self_, true);
}

void swim_member::AddMember(time_point now, const member_record& record, swim_output& output) {
  const std::string name = record.name.Text();
  member added;
  added.record = record;
  added.record.state = member_state::kAlive;
  added.state_since = now;
  order_.push_back(name);
  // A random place in the present round, so that new members are not probed in order of arrival.
  std::uniform_int_distribution<std::size_t> place(std::min(next_in_order_, order_.size() - 1),
                                                   order_.size() - 1);
  std::swap(order_[place(random_)], order_.back());
  member& known = members_.emplace(name, std::move(added)).first->second;
  NoteVersion(now, known, record.document_version);
  ++alive_count_;
  output.changes.push_back({.name = name, .state = member_state::kAlive});
  Queue(known.record, false);
  if (record.state == member_state::kSuspect) {
    ApplyToMember(now, known, record, output);
  }
}

void swim_member::ApplyToMember(time_point now,
                                member& known,
                                const member_record& record,
                                swim_output& output) {
  const std::uint64_t before = known.record.incarnation;
  if (record.incarnation < before) {
    return;
  }
  if (record.incarnation == before) {
    if (record.state == member_state::kSuspect && known.suspected &&
        known.suspected->accusers.size() <= static_cast<std::size_t>(options_.confirmations) &&
        known.suspected->accusers.insert(record.accuser).second) {
      // An independent confirmation shortens the suspicion and is passed on.
      Queue(record, true);
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
  const member_state before = known.record.state;
  TARRAGON_INVARIANT(record.incarnation >= known.record.incarnation, "incarnation moves back");
  if (record.incarnation > known.record.incarnation) {
    // A new process counts its payloads from the start and may hold an older document.
    if (record.state == member_state::kAlive && IsGone(before)) {
      known.payload_sequence = 0;
    }
  }
  const std::uint32_t version = known.record.document_version;
  known.record = record;
  known.record.document_version = std::max(version, record.document_version);
  known.state_since = now;
  known.suspected.reset();
  suspects_.erase(name);
  if (record.state == member_state::kSuspect) {
    known.suspected = suspicion{.since = now, .accusers = {record.accuser}};
    suspects_.insert(name);
    ++counters_.suspicions;
  }
  if (IsGone(record.state) && !IsGone(before)) {
    --alive_count_;
    gone_.insert(name);
  } else if (!IsGone(record.state) && IsGone(before)) {
    ++alive_count_;
    gone_.erase(name);
  }
  if (before != record.state) {
    output.changes.push_back({.name = name, .state = record.state});
  }
  Queue(known.record, before != record.state);
}

void swim_member::NoteVersion(time_point now, member& known, std::uint64_t version) {
  if (version > known.document_version) {
    known.document_version = version;
    known.record.document_version = static_cast<std::uint32_t>(version);
    known.version_since = now;
  }
}

void swim_member::Tick(time_point now, swim_output& output) {
  AbsorbStall(now);
  SendNacks(now, output);
  ExpireSuspicions(now, output);
  if (probe_ && !probe_->acked && !probe_->indirect_sent && now >= probe_->indirect_at) {
    SendIndirect(output);
  }
  if (announce_rounds_left_ > 0 && now >= next_announce_) {
    AnnounceRound(now, output);
  }
  if (now >= next_period_) {
    EndProbe(now, output);
    StartProbe(now, output);
    ++periods_;
    if (periods_ >= next_sync_) {
      RequestSync(output);
    }
    if (periods_ % static_cast<std::uint64_t>(options_.rejoin_every) == 1) {
      ContactLost(output);
      Forget(now);
    }
  }
  last_tick_ = now;
}

time_point swim_member::NextTick() const {
  return last_tick_ ? *last_tick_ + kTickResolution : time_point();
}

// Acks and refutations that arrived while the process did not run have not been handled yet, so
// the time of the stall must not count against other members.
void swim_member::AbsorbStall(time_point now) {
  if (!last_tick_ || now - *last_tick_ < kStallPeriods * options_.period) {
    return;
  }
  ++counters_.stalls;
  const duration gap = now - *last_tick_;
  for (const std::string& name : suspects_) {
    members_.at(name).suspected->since += gap;
  }
  probe_.reset();
  relays_.clear();
  next_period_ = now + options_.period;
  ChangeHealth(+1);
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
  // Helpers that answered with a nack show that this side is well; missing nacks mean that the
  // fault may be here (Lifeguard).
  ChangeHealth(ended.helpers > 0 ? ended.nacks_missing : 1);
  member* target = Find(ended.target);
  if (target == nullptr || IsGone(target->record.state)) {
    return;
  }
  member_record accusation = target->record;
  accusation.state = member_state::kSuspect;
  accusation.accuser = NameHash(options_.name);
  ApplyToMember(now, *target, accusation, output);
}

void swim_member::StartProbe(time_point now, swim_output& output) {
  next_period_ = now + Scaled(options_.period);
  member* target = NextProbeTarget();
  if (target == nullptr) {
    return;
  }
  probe started;
  started.sequence = ++last_sequence_;
  started.target = target->record.name.Text();
  started.indirect_at = now + Scaled(options_.ack_timeout);
  started.ends_at = next_period_;
  probe_ = started;
  Send(target->record.gossip, MakeProbe(probe_kind::kPing, started.sequence, target->record),
       output);
}

void swim_member::SendIndirect(swim_output& output) {
  probe_->indirect_sent = true;
  const member* target = Find(probe_->target);
  if (target == nullptr) {
    return;
  }
  for (member* helper :
       RandomAlive(static_cast<std::size_t>(options_.indirect_probes), probe_->target)) {
    ++probe_->helpers;
    ++probe_->nacks_missing;
    Send(helper->record.gossip,
         MakeProbe(probe_kind::kPingRequest, probe_->sequence, target->record), output);
  }
}

void swim_member::SendNacks(time_point now, swim_output& output) {
  for (auto at = relays_.begin(); at != relays_.end();) {
    relay& pending = at->second;
    if (now >= pending.nack_at && !pending.nack_sent) {
      pending.nack_sent = true;
      Send(pending.requester,
           MakeProbe(probe_kind::kNack, pending.requester_sequence, pending.target), output);
    }
    // A late ack is still passed on: the requester waits for the rest of its period.
    at = now >= pending.nack_at + options_.period ? relays_.erase(at) : std::next(at);
  }
}

void swim_member::ExpireSuspicions(time_point now, swim_output& output) {
  std::vector<member_record> dead;
  for (const std::string& name : suspects_) {
    const member& suspect = members_.at(name);
    if (now - suspect.suspected->since >= SuspicionTime(*suspect.suspected)) {
      member_record record = suspect.record;
      record.state = member_state::kDead;
      record.accuser = NameHash(options_.name);
      dead.push_back(record);
    }
  }
  for (const member_record& record : dead) {
    ++counters_.deaths_declared;
    ApplyToMember(now, *Find(record.name.Text()), record, output);
  }
}

/** @return address of a random gone member or of a seed that is no live member. */
std::optional<wire::peer_address> swim_member::PickLost() {
  std::vector<wire::peer_address> lost;
  lost.reserve(gone_.size() + 1);
  for (const std::string& name : gone_) {
    lost.push_back(members_.at(name).record.gossip);
  }
  if (!options_.seeds.empty()) {
    std::uniform_int_distribution<std::size_t> pick(0, options_.seeds.size() - 1);
    const wire::peer_address seed = options_.seeds[pick(random_)];
    const bool live = std::ranges::any_of(members_, [&seed](const auto& entry) {
      return entry.second.record.gossip == seed && !IsGone(entry.second.record.state);
    });
    if (!live && seed != options_.gossip) {
      lost.push_back(seed);
    }
  }
  if (lost.empty()) {
    return std::nullopt;
  }
  std::uniform_int_distribution<std::size_t> pick(0, lost.size() - 1);
  return lost[pick(random_)];
}

// Dead members are contacted now and then: after a partition nobody else would do so.
void swim_member::ContactLost(swim_output& output) {
  const std::optional<wire::peer_address> chosen = PickLost();
  if (!chosen) {
    return;
  }
  const wire::peer_address to = *chosen;
  member_record anyone;
  for (const std::string& name : gone_) {
    const member& gone = members_.at(name);
    if (gone.record.gossip == to) {
      anyone = gone.record;
      break;
    }
  }
  // The record of the dead member comes along first, so that it can refute it at once.
  probe_message ping = MakeProbe(probe_kind::kPing, ++last_sequence_, member_record{});
  if (anyone.gossip.port != 0) {
    ping.update_count = 0;
    FillUpdates(ping, &anyone);
  }
  Send(to, ping, output);
  Send(to, SyncRequest(), output);
}

wire::sync_message swim_member::SyncRequest() const {
  wire::sync_message sync;
  sync.sender = self_;
  sync.document_version = document_version_;
  sync.wants_answer = true;
  return sync;
}

// Asks a random member for its whole list. The interval doubles from the start of the process, so
// that members that start together double what they know each time, up to one that grows with the
// number of members, so that the bytes per second do not.
void swim_member::RequestSync(swim_output& output) {
  const std::uint64_t steady =
      std::max<std::uint64_t>(kMinSyncPeriods, order_.size() / kSyncRecordsPerPeriod);
  sync_interval_ = std::min(2 * sync_interval_, steady);
  next_sync_ = periods_ + sync_interval_;
  for (const member* to : RandomAlive(1, {})) {
    Send(to->record.gossip, SyncRequest(), output);
  }
}

void swim_member::Forget(time_point now) {
  std::vector<std::string> old;
  std::ranges::copy_if(gone_, std::back_inserter(old), [this, now](const std::string& name) {
    return now - members_.at(name).state_since >= options_.forget_after;
  });
  for (const std::string& name : old) {
    gone_.erase(name);
    updates_.erase(name);
    members_.erase(name);
    std::erase(order_, name);
  }
  next_in_order_ = std::min(next_in_order_, order_.size());
}

void swim_member::SetDocumentVersion(time_point now, std::uint64_t version, swim_output& output) {
  TARRAGON_INVARIANT(version >= document_version_, "document version moves back");
  if (version == document_version_) {
    return;
  }
  document_version_ = version;
  self_.document_version = static_cast<std::uint32_t>(version);
  announce_rounds_left_ = kAnnounceRounds;
  AnnounceRound(now, output);
}

void swim_member::AnnounceRound(time_point now, swim_output& output) {
  --announce_rounds_left_;
  next_announce_ = now + kAnnounceInterval;
  for (const member* to :
       RandomAlive(static_cast<std::size_t>(options_.announce_fanout), {}, document_version_)) {
    Send(to->record.gossip,
         wire::announce_message{.sender = self_, .document_version = document_version_}, output);
  }
}

void swim_member::AnswerSync(const wire::peer_address& to, swim_output& output) {
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

void swim_member::SetState(const decision::peer_state& state) {
  payload_ = wire::ToPayload(state, payload_.sequence + 1);
}

void swim_member::SetLeaseHint(const lease_hint& hint) {
  if (hint.fencing > lease_hint_.fencing) {
    lease_hint_ = hint;
  }
}

void swim_member::Leave(time_point /*now*/, swim_output& output) {
  self_.state = member_state::kLeft;
  for (member* to : RandomAlive(kLeaveDatagrams, {})) {
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

swim_member::member* swim_member::Find(const std::string& name) {
  const auto found = members_.find(name);
  return found == members_.end() ? nullptr : &found->second;
}

// Round robin over a shuffled order bounds the time until each member is probed (SWIM).
swim_member::member* swim_member::NextProbeTarget() {
  for (std::size_t tried = 0; tried <= order_.size(); ++tried) {
    if (next_in_order_ >= order_.size()) {
      std::ranges::shuffle(order_, random_);
      next_in_order_ = 0;
      if (order_.empty()) {
        return nullptr;
      }
    }
    member& candidate = members_.at(order_[next_in_order_++]);
    if (!IsGone(candidate.record.state)) {
      return &candidate;
    }
  }
  return nullptr;
}

std::vector<swim_member::member*> swim_member::RandomAlive(std::size_t count,
                                                           const std::string& without,
                                                           std::uint64_t below) {
  std::vector<member*> chosen;
  if (order_.empty()) {
    return chosen;
  }
  // Random draws keep the cost independent of the member count; the walk covers small groups.
  const std::size_t draws = 4 * count + order_.size() * (order_.size() <= 16 ? 1 : 0);
  std::uniform_int_distribution<std::size_t> pick(0, order_.size() - 1);
  const std::size_t start = pick(random_);
  for (std::size_t i = 0; i < draws && chosen.size() < count; ++i) {
    const std::size_t index = order_.size() <= 16 ? (start + i) % order_.size() : pick(random_);
    member& candidate = members_.at(order_[index]);
    if (!IsGone(candidate.record.state) && order_[index] != without &&
        candidate.document_version < below &&
        std::ranges::find(chosen, &candidate) == chosen.end()) {
      chosen.push_back(&candidate);
    }
  }
  return chosen;
}

duration swim_member::SuspicionTime(const suspicion& raised) const {
  const double members = static_cast<double>(std::max<std::size_t>(alive_count_ + 1, 10));
  const auto least = std::chrono::duration_cast<duration>(
      options_.period * (options_.suspicion_factor * std::log10(members)));
  const int possible = std::min<int>(options_.confirmations, static_cast<int>(alive_count_) - 2);
  if (possible < 1) {
    return least;
  }
  const auto confirmed = static_cast<double>(raised.accusers.size()) - 1;
  const double share = std::min(1.0, std::log(confirmed + 1) / std::log(possible + 1.0));
  const double ratio = options_.max_suspicion_ratio - (options_.max_suspicion_ratio - 1) * share;
  return std::chrono::duration_cast<duration>(least * ratio);
}

void swim_member::ChangeHealth(int by) {
  local_health_ = std::clamp(local_health_ + by, 0, options_.max_local_health - 1);
}

void swim_member::Queue(const member_record& record, bool urgent) {
  updates_[record.name.Text()] = {.record = record, .sends = 0, .urgent = urgent};
}

void swim_member::FillUpdates(probe_message& message, const member_record* first) {
  const auto add = [&message](const member_record& record) {
    message.updates[message.update_count++] = record;
  };
  if (first != nullptr) {
    add(*first);
  }
  // Accusations and refutations go first: behind the many joins of a start or a merge, a refutation
  // would come too late. Among equals, the least sent updates go first.
  std::vector<std::map<std::string, update>::iterator> queue;
  for (auto at = updates_.begin(); at != updates_.end(); ++at) {
    queue.push_back(at);
  }
  const std::size_t wanted = std::min(queue.size(), wire::kUpdatesPerProbe - message.update_count);
  std::ranges::partial_sort(
      queue, queue.begin() + static_cast<std::ptrdiff_t>(wanted), {},
      [](const auto& at) { return std::pair(!at->second.urgent, at->second.sends); });
  const int limit = static_cast<int>(
      std::ceil(options_.retransmit_factor * std::log10(static_cast<double>(alive_count_ + 2))));
  for (std::size_t i = 0; i < wanted; ++i) {
    add(queue[i]->second.record);
    if (++queue[i]->second.sends >= limit) {
      updates_.erase(queue[i]);
    }
  }
  // Free places carry records of random members: the bytes of the fixed-size datagram are sent in
  // any case.
  std::uniform_int_distribution<std::size_t> pick(0, order_.empty() ? 0 : order_.size() - 1);
  while (!order_.empty() && message.update_count < wire::kUpdatesPerProbe) {
    add(members_.at(order_[pick(random_)]).record);
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
  message.lease_fencing = lease_hint_.fencing;
  message.lease_holder = wire::member_name::From(lease_hint_.holder);
  message.payload = payload_;
  // A suspect learns of the suspicion from the probe itself (Lifeguard's buddy system).
  const bool accused = kind == probe_kind::kPing && target.state == member_state::kSuspect;
  FillUpdates(message, accused ? &target : nullptr);
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
  TARRAGON_INVARIANT(!members_.contains(options_.name), "a member is not its own peer");
  TARRAGON_INVARIANT(order_.size() == members_.size(), "each member has one place in the order");
  TARRAGON_INVARIANT(self_.incarnation >= options_.incarnation, "incarnation moves back");
  TARRAGON_INVARIANT(relays_.size() <= kMaxRelays, "relays are bounded");
  std::size_t alive = 0;
  for (const auto& [name, known] : members_) {
    const bool suspect = known.record.state == member_state::kSuspect;
    TARRAGON_INVARIANT(
        suspect == known.suspected.has_value() && suspect == suspects_.contains(name),
        "suspects have a running suspicion");
    TARRAGON_INVARIANT(IsGone(known.record.state) == gone_.contains(name), "gone members listed");
    alive += IsGone(known.record.state) ? 0 : 1;
  }
  TARRAGON_INVARIANT(alive == alive_count_, "live members counted");
  TARRAGON_INVARIANT(!probe_ || probe_->sequence <= last_sequence_, "probe sequence was issued");
}

}  // namespace tarragon::membership
