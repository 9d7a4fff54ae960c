#ifndef TARRAGON_DECISION_WORLD_FAKE_WORLD_H_
#define TARRAGON_DECISION_WORLD_FAKE_WORLD_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <vector>

#include "decision/world/caller_fake.h"
#include "decision/world/claim_table_fake.h"
#include "decision/world/endpoint_fake.h"
#include "decision/world/run_oracle.h"
#include "decision/world/world_script.h"
#include "tarragon/base/metrics.h"
#include "tarragon/decision/engine_options.h"
#include "tarragon/decision/request_engine.h"

namespace tarragon::decision {

/**
 * Runs request engines against fake endpoints, a fake claim table and fake callers in simulated
 * time. All faults end before the run does, so every request must finish.
 */
class fake_world final {
 public:
  fake_world(world_script script, engine_options options);

  /** Runs the script until all faults have ended and all requests have finished. */
  void Run();

  const std::vector<std::string>& violations() const { return oracle_.violations(); }
  std::uint64_t events() const { return events_; }
  std::uint64_t completed() const { return completed_; }

 private:
  struct entry_process {
    std::unique_ptr<metrics> counters;
    std::unique_ptr<request_engine> engine;
    /** Changes when the process restarts; events for an earlier incarnation are dropped. */
    std::uint64_t incarnation = 0;
    bool draining = false;
    time_point unreliable_until;
  };

  /** A connection from an entry to an endpoint, for one attempt. */
  struct connection {
    std::size_t entry = 0;
    std::uint64_t entry_incarnation = 0;
    attempt_id attempt;
    request_id request;
    std::size_t endpoint = 0;
    generation_id generation;
    bool open = true;
    bool silent = false;
    /** The endpoint has accepted the attempt and sends its output here. */
    bool accepted = false;
    /** The endpoint has sent its last message, such as a decline or the end of the output. */
    bool response_sent = false;
    std::uint32_t next_index = 0;
    time_point last_byte_at;
    /** Time at which the entry decided to send the attempt. */
    time_point sent_at;
  };
  using connection_ptr = std::shared_ptr<connection>;

  struct scheduled_task {
    time_point at;
    std::uint64_t sequence;
    std::function<void()> run;
    bool operator>(const scheduled_task& other) const {
      return at != other.at ? at > other.at : sequence > other.sequence;
    }
  };

  void ScheduleAfter(std::chrono::milliseconds delay, std::function<void()> run);
  std::int64_t RandomBetween(std::int64_t low, std::int64_t high);

  void StartEntry(std::size_t entry);
  void Tick(std::size_t entry);
  void Gossip();
  void ReportLoads();
  bool IsQuiescent() const;
  void PublishDocument();

  void Handle(std::size_t entry, const event& input);
  void DeliverToEntry(const connection_ptr& link, event input);
  void BreakConnection(const connection_ptr& link, run_verdict verdict, failure_cause cause);

  void StartRequest(std::size_t plan);
  void DisconnectCaller(request_id id);
  void ScheduleReconnect(const caller_fake& caller, std::chrono::milliseconds delay);
  void Reconnect(const caller_fake& caller);
  request_properties MakeRequestProperties(const caller_fake& caller);
  std::size_t PickEntry(std::uint64_t preferred) const;

  void InjectFault(const planned_fault& fault);
  void CrashEndpoint(std::size_t endpoint, std::chrono::milliseconds downtime);
  /** Kills the entry, which breaks its connections, and starts a new one. */
  void RestartEntry(std::size_t entry);
  void SetLeaving(std::size_t endpoint, bool leaving);
  vm_list_changed MakeVmList() const;
  void CheckNoDuplicateGeneration(const connection& link);
  void CheckNoReaderRemains(const generation_id& generation);

  void Apply(std::size_t entry, const send_attempt& command);
  void Apply(std::size_t entry, const resume_attempt& command);
  void Apply(std::size_t entry, const cancel_attempt& command);
  void Apply(std::size_t entry, const close_attempt& command);
  void Apply(std::size_t entry, const write_claim& command);
  void Apply(std::size_t entry, const complete_claim& command);
  void Apply(std::size_t entry, const release_claim& command);
  void ScheduleAfterOutage(std::function<void()> run);
  template <typename caller_action>
  void Apply(std::size_t entry, const caller_action& command);

  connection_ptr Connect(std::size_t entry,
                         request_id request,
                         attempt_id attempt,
                         const endpoint_name& endpoint,
                         const generation_id& generation);
  connection_ptr FindConnection(std::size_t entry, attempt_id attempt) const;
  std::size_t IndexOf(const endpoint_name& endpoint) const;
  bool IsReachable(const connection& link) const;
  /** Runs the task at the endpoint now or, if the endpoint is frozen, when the freeze ends. */
  void RunAtEndpoint(std::size_t endpoint, std::function<void()> run);
  bool DeclineIfUnavailable(const connection_ptr& link);
  void HandleGeneration(const connection_ptr& link, std::uint64_t caller);
  void HandleCall(const connection_ptr& link, std::uint64_t caller);
  void HandleResume(const connection_ptr& link);
  void ProduceTokens(std::size_t endpoint,
                     const generation_id& generation,
                     std::uint64_t incarnation);
  void SendTokens(const connection_ptr& link);
  void DetectSilence(const connection_ptr& link);

  world_script script_;
  engine_options options_;
  std::mt19937_64 random_;
  time_point now_;
  time_point faults_end_;
  std::uint64_t sequence_ = 0;
  std::priority_queue<scheduled_task, std::vector<scheduled_task>, std::greater<>> schedule_;
  run_oracle oracle_;
  claim_table_fake claims_;
  time_point outage_until_;
  time_point responses_lost_until_;
  time_point gossip_lost_until_;
  std::vector<entry_process> entries_;
  std::vector<endpoint_fake> endpoints_;
  std::map<std::pair<std::uint64_t, attempt_id>, connection_ptr> connections_;
  std::map<request_id, caller_fake> callers_;
  std::map<request_id, std::size_t> entry_of_;
  std::map<request_id, std::string> claim_tokens_;
  std::uint64_t last_request_ = 0;
  std::uint64_t last_incarnation_ = 0;
  document::document_ptr document_;
  std::uint64_t document_version_ = 0;
  std::uint64_t events_ = 0;
  std::uint64_t completed_ = 0;
  std::size_t pending_arrivals_ = 0;
};

}  // namespace tarragon::decision

#endif  // TARRAGON_DECISION_WORLD_FAKE_WORLD_H_
