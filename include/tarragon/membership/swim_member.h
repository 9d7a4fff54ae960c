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

/** A member changed its state, joined (first seen alive) or was forgotten. */
struct member_change {
  std::string name;
  wire::member_state state = wire::member_state::kAlive;
};

/** A peer has a document version that is newer than the local one. */
struct newer_document {
  std::string member;
  wire::peer_address document_address;
  std::uint64_t version = 0;
};

/** What one call of `swim_member` brought about. */
struct swim_output {
  std::vector<outgoing_datagram> datagrams;
  std::vector<member_change> changes;
  std::vector<decision::peer_state_received> payloads;
  std::vector<newer_document> newer_documents;
};

/** A member as seen locally. */
struct member_view {
  std::string name;
  wire::peer_address gossip;
  std::uint16_t document_port = 0;
  wire::member_state state = wire::member_state::kAlive;
  std::uint64_t incarnation = 0;
  std::uint64_t document_version = 0;
  /** When this version was first heard of. */
  time_point version_since;
};

struct lease_hint {
  std::uint64_t fencing = 0;
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
 * SWIM failure detector with the Lifeguard refinements, dissemination of updates and of the
 * document version. Has no socket, thread or clock. Used by one thread.
 */
class swim_member final {
 public:
  /** @param seed seed of the random choices. */
  swim_member(swim_options options, std::uint64_t seed);

  /** Handles one datagram. Malformed ones are counted and ignored. */
  void Handle(time_point now,
              const wire::peer_address& from,
              std::string_view bytes,
              swim_output& output);

  /** Runs what is due. Called at `NextTick` or a little later. */
  void Tick(time_point now, swim_output& output);
  time_point NextTick() const;

  /** Records that the local process has a document version and announces it at once. */
  void SetDocumentVersion(time_point now, std::uint64_t version, swim_output& output);
  void SetState(const decision::peer_state& state);
  void SetSeeds(std::vector<wire::peer_address> seeds) { options_.seeds = std::move(seeds); }
  /** Keeps the hint with the highest fencing number. */
  void SetLeaseHint(const lease_hint& hint);
  /** Tells some members that this one is leaving on purpose. */
  void Leave(time_point now, swim_output& output);

  std::vector<member_view> Members() const;
  std::size_t AliveCount() const { return alive_count_; }
  std::uint64_t Incarnation() const { return self_.incarnation; }
  std::uint64_t DocumentVersion() const { return document_version_; }
  const lease_hint& LeaseHint() const { return lease_hint_; }
  const swim_counters& Counters() const { return counters_; }
  int LocalHealth() const { return local_health_; }

  /** Checks all invariants; aborts the process if one is broken. */
  void Validate() const;

 private:
  struct suspicion {
    time_point since;
    std::set<std::uint32_t> accusers;
  };
  struct member {
    wire::member_record record;
    std::uint64_t document_version = 0;
    time_point version_since;
    time_point state_since;
    std::uint64_t payload_sequence = 0;
    std::optional<suspicion> suspected;
  };
  struct probe {
    std::uint64_t sequence = 0;
    std::string target;
    time_point indirect_at;
    time_point ends_at;
    bool acked = false;
    bool indirect_sent = false;
    int helpers = 0;
    int nacks_missing = 0;
  };
  /** A probe on behalf of another member. */
  struct relay {
    wire::peer_address requester;
    std::uint64_t requester_sequence = 0;
    wire::member_record target;
    time_point nack_at;
    bool nack_sent = false;
  };
  struct update {
    wire::member_record record;
    int sends = 0;
    /** Accusation or refutation; sent before other updates. */
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
  void RelayPing(time_point now,
                 const wire::peer_address& from,
                 const wire::probe_message& message,
                 swim_output& output);
  void HeardFrom(time_point now,
                 const wire::member_record& sender,
                 std::uint64_t version,
                 swim_output& output);

  void Apply(time_point now, const wire::member_record& record, swim_output& output);
  void ApplyAboutSelf(const wire::member_record& record);
  void AddMember(time_point now, const wire::member_record& record, swim_output& output);
  void ApplyToMember(time_point now,
                     member& known,
                     const wire::member_record& record,
                     swim_output& output);
  void ChangeState(time_point now,
                   member& known,
                   const wire::member_record& record,
                   swim_output& output);
  void NoteVersion(time_point now, member& known, std::uint64_t version);
  void Forget(time_point now);

  void AbsorbStall(time_point now);
  void EndProbe(time_point now, swim_output& output);
  void StartProbe(time_point now, swim_output& output);
  void SendIndirect(swim_output& output);
  void SendNacks(time_point now, swim_output& output);
  void ExpireSuspicions(time_point now, swim_output& output);
  void ContactLost(swim_output& output);
  void AnnounceRound(time_point now, swim_output& output);
  void RequestSync(swim_output& output);
  wire::sync_message SyncRequest() const;
  void AnswerSync(const wire::peer_address& to, swim_output& output);

  member* Find(const std::string& name);
  member* NextProbeTarget();
  /** @param below only members whose document version is lower. */
  std::vector<member*> RandomAlive(std::size_t count,
                                   const std::string& without,
                                   std::uint64_t below = std::numeric_limits<std::uint64_t>::max());
  std::optional<wire::peer_address> PickLost();
  duration SuspicionTime(const suspicion& raised) const;
  duration Scaled(duration base) const { return base * (local_health_ + 1); }
  void ChangeHealth(int by);
  void Queue(const wire::member_record& record, bool urgent);
  void FillUpdates(wire::probe_message& message, const wire::member_record* first);
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
  /** Names in probe order; shuffled after each full round. */
  std::vector<std::string> order_;
  std::size_t next_in_order_ = 0;
  std::size_t alive_count_ = 0;
  std::set<std::string> suspects_;
  std::set<std::string> gone_;
  std::map<std::string, update> updates_;

  std::uint64_t last_sequence_ = 0;
  std::optional<probe> probe_;
  std::map<std::uint64_t, relay> relays_;
  time_point next_period_;
  std::optional<time_point> last_tick_;
  std::uint64_t periods_ = 0;
  std::uint64_t next_sync_ = 2;
  std::uint64_t sync_interval_ = 1;
  int local_health_ = 0;
  int announce_rounds_left_ = 0;
  time_point next_announce_;
};

}  // namespace tarragon::membership

#endif  // TARRAGON_MEMBERSHIP_SWIM_MEMBER_H_
