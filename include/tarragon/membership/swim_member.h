#ifndef TARRAGON_MEMBERSHIP_SWIM_MEMBER_H_
#define TARRAGON_MEMBERSHIP_SWIM_MEMBER_H_

#include <array>
#include <cstdint>
#include <limits>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "tarragon/base/clock.h"
#include "tarragon/decision/event.h"
#include "tarragon/membership/swim_options.h"
#include "tarragon/wire/datagram.h"

namespace tarragon::membership {

struct outgoing_datagram {
  wire::peer_address to;
  std::string bytes;
};

/** A member joined (kAlive) or changed its state. */
struct member_change {
  std::string name;
  wire::member_state state = wire::member_state::kAlive;
};

/** A peer has a newer document version than the local process. */
struct newer_document {
  std::string member;
  wire::peer_address document_address;
  std::uint64_t version = 0;
};

/** Datagrams to send and events to report after one call of `swim_member`. */
struct swim_output {
  std::vector<outgoing_datagram> datagrams;
  std::vector<member_change> changes;
  std::vector<decision::peer_state_received> peer_states;
  std::vector<newer_document> newer_documents;
};

/** State of another member as known locally. */
struct member_view {
  std::string name;
  wire::peer_address gossip;
  std::uint16_t document_port = 0;
  wire::member_state state = wire::member_state::kAlive;
  std::uint64_t incarnation = 0;
  std::uint64_t document_version = 0;
  /** When the local process first learned of this version. */
  time_point version_since;
};

/** Holder of the control lease according to gossip; may be outdated. */
struct lease_hint {
  std::uint64_t fencing_number = 0;
  std::string holder;
};

/** Counters since the start. */
struct swim_counters {
  std::uint64_t datagrams_received = 0;
  std::uint64_t datagrams_malformed = 0;
  std::uint64_t datagrams_sent = 0;
  std::uint64_t bytes_sent = 0;
  std::uint64_t bytes_received = 0;
  std::uint64_t probes_failed = 0;
  std::uint64_t suspicions = 0;
  std::uint64_t deaths_declared = 0;
  std::uint64_t refutations = 0;
  std::uint64_t stalls = 0;
};

/**
 * SWIM failure detector with the Lifeguard extensions. Disseminates member updates and the document
 * version. Has no socket, thread or clock. Not thread-safe.
 */
class swim_member final {
 public:
  /** @param seed seed of the random number generator. */
  swim_member(swim_options options, std::uint64_t seed);

  /** Handles one received datagram. Counts and ignores a malformed one. */
  void HandleDatagram(time_point now,
                      const wire::peer_address& from,
                      std::string_view bytes,
                      swim_output& output);

  /** Runs the timers that are due. The owner calls this at `NextTick` or shortly after. */
  void Tick(time_point now, swim_output& output);
  time_point NextTick() const;

  /** Sets the document version of the local process and announces it at once. */
  void SetDocumentVersion(time_point now, std::uint64_t version, swim_output& output);
  void SetLocalState(const decision::peer_state& state);
  void SetSeeds(std::vector<wire::peer_address> seeds) { options_.seeds = std::move(seeds); }
  /** Stores the hint if its fencing number is higher than that of the stored one. */
  void SetLeaseHint(const lease_hint& hint);
  /** Announces to some members that the local process is leaving the group. */
  void Leave(time_point now, swim_output& output);

  std::vector<member_view> Members() const;
  std::size_t AliveCount() const { return alive_count_; }
  std::uint64_t Incarnation() const { return self_.incarnation; }
  std::uint64_t DocumentVersion() const { return document_version_; }
  const lease_hint& LeaseHint() const { return lease_hint_; }
  const swim_counters& Counters() const { return counters_; }
  /** 0 if the local process is healthy; higher values lengthen probe timeouts (Lifeguard). */
  int LocalHealth() const { return local_health_; }

  /** Checks all invariants; aborts the process if one is broken. */
  void Validate() const;

 private:
  struct suspicion {
    time_point since;
    std::set<std::uint32_t> reporters;
  };
  struct member {
    wire::member_record record;
    std::uint64_t document_version = 0;
    time_point version_since;
    time_point state_since;
    std::uint64_t payload_sequence = 0;
    std::optional<suspicion> active_suspicion;
  };
  struct probe {
    std::uint64_t sequence = 0;
    std::string target;
    time_point ping_requests_at;
    time_point period_ends_at;
    bool acked = false;
    bool ping_requests_sent = false;
    int ping_request_count = 0;
    int nacks_missing = 0;
  };
  /** Ping sent on behalf of another member. */
  struct forwarded_ping {
    wire::peer_address requester;
    std::uint64_t requester_sequence = 0;
    wire::member_record target;
    time_point nack_at;
    bool nack_sent = false;
  };
  struct queued_update {
    wire::member_record record;
    int sends = 0;
    /** Set for state changes and refutations, which are sent before other updates. */
    bool urgent = false;
  };

  void HandleMessage(time_point now,
                     const wire::peer_address& from,
                     const wire::probe_message& message,
                     swim_output& output);
  void HandleMessage(time_point now,
                     const wire::peer_address& from,
                     const wire::announce_message& message,
                     swim_output& output);
  void HandleMessage(time_point now,
                     const wire::peer_address& from,
                     const wire::sync_message& message,
                     swim_output& output);
  void HandleAck(time_point now, const wire::probe_message& message, swim_output& output);
  void ForwardPing(time_point now,
                   const wire::peer_address& from,
                   const wire::probe_message& message,
                   swim_output& output);
  void RecordContact(time_point now,
                     const wire::member_record& sender,
                     std::uint64_t version,
                     swim_output& output);

  void ApplyRecord(time_point now, const wire::member_record& record, swim_output& output);
  void ApplyRecordAboutSelf(const wire::member_record& record);
  void AddMember(time_point now, const wire::member_record& record, swim_output& output);
  void ApplyRecordToMember(time_point now,
                           member& known,
                           const wire::member_record& record,
                           swim_output& output);
  void ChangeState(time_point now,
                   member& known,
                   const wire::member_record& record,
                   swim_output& output);
  void RecordDocumentVersion(time_point now, member& known, std::uint64_t version);
  void RemoveExpiredMembers(time_point now);

  void CompensateForStall(time_point now);
  void EndProbe(time_point now, swim_output& output);
  void StartProbe(time_point now, swim_output& output);
  void SendPingRequests(swim_output& output);
  void SendNacks(time_point now, swim_output& output);
  void ExpireSuspicions(time_point now, swim_output& output);
  void ContactUnreachableMember(swim_output& output);
  void SendAnnouncements(time_point now, swim_output& output);
  void SendSyncRequest(swim_output& output);
  wire::sync_message MakeSyncRequest() const;
  void SendMemberList(const wire::peer_address& to, swim_output& output);

  member* FindMember(const std::string& name);
  member* NextProbeTarget();
  /** @param below_version picks only members with a lower document version than this. */
  std::vector<member*> PickRandomLiveMembers(
      std::size_t count,
      const std::string& excluded,
      std::uint64_t below_version = std::numeric_limits<std::uint64_t>::max());
  std::optional<wire::peer_address> PickUnreachableAddress();
  duration SuspicionTimeout(const suspicion& current) const;
  duration ScaleByLocalHealth(duration base) const { return base * (local_health_ + 1); }
  void AdjustLocalHealth(int change);
  void QueueUpdate(const wire::member_record& record, bool urgent);
  void AddUpdates(wire::probe_message& message, const wire::member_record* first);
  wire::probe_message MakeProbe(wire::probe_kind kind,
                                std::uint64_t sequence,
                                const wire::member_record& target);
  void Send(const wire::peer_address& to, const wire::datagram& message, swim_output& output);

  swim_options options_;
  std::mt19937_64 random_;
  wire::member_record self_;
  std::uint64_t document_version_ = 0;
  wire::state_payload payload_;
  lease_hint lease_hint_;
  swim_counters counters_;

  std::map<std::string, member> members_;
  /** Member names in probe order; shuffled after each full round. */
  std::vector<std::string> probe_order_;
  std::size_t next_probe_index_ = 0;
  std::size_t alive_count_ = 0;
  std::set<std::string> suspects_;
  std::set<std::string> dead_or_left_;
  std::map<std::string, queued_update> updates_;

  std::uint64_t last_sequence_ = 0;
  std::optional<probe> probe_;
  std::map<std::uint64_t, forwarded_ping> forwarded_pings_;
  time_point next_period_at_;
  std::optional<time_point> last_tick_;
  std::uint64_t periods_ = 0;
  std::uint64_t next_sync_period_ = 2;
  std::uint64_t sync_interval_periods_ = 1;
  int local_health_ = 0;
  int announce_rounds_left_ = 0;
  time_point next_announce_at_;
};

}  // namespace tarragon::membership

#endif  // TARRAGON_MEMBERSHIP_SWIM_MEMBER_H_
