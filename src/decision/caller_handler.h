#ifndef TARRAGON_DECISION_CALLER_HANDLER_H_
#define TARRAGON_DECISION_CALLER_HANDLER_H_

#include <string>
#include <unordered_map>
#include <vector>

#include "decision/dispatcher.h"
#include "decision/engine_core.h"
#include "decision/stream_handler.h"

namespace tarragon::decision {

/** Handles callers that connect, disconnect and reconnect, and their idempotency claims. */
class caller_handler final {
 public:
  caller_handler(engine_core& core, dispatcher& queue, stream_handler& streams)
      : core_(core), queue_(queue), streams_(streams) {}

  void OnEvent(const request_arrived& event);
  void OnEvent(const caller_disconnected& event);
  void OnEvent(const resume_arrived& event);
  void OnEvent(const claim_answered& event);

  /** Finishes a request whose caller did not reconnect or whose claim is not answered in time. */
  void Tick(request_record& record);
  /** Drops expired claims and adoption announcements. */
  void Tick();

  /** Finishes disconnected requests whose callers resumed the generation at another entry. */
  void OnAdoptedElsewhere(const std::vector<std::uint64_t>& generations);

  /** @return hashes of generations that callers resumed at this entry, for gossip. */
  std::vector<std::uint64_t> AdoptedHashes(time_point now) const;

 private:
  /** Copies the document's settings into the record. @return false if the request was refused. */
  bool ApplyDocumentSettings(request_record& record);
  /** @return whether the request was refused as a crash suspect or over its account's rate. */
  bool RefuseIfSuspectOrOverRate(request_record& record);
  void RequestClaim(request_record& record);
  void ReplayRecordedResponse(request_record& record, const claim_answered& event);
  /** Finishes the request that reads the generation on an earlier connection to this entry. */
  void FinishEarlierReader(const resume_arrived& event);

  engine_core& core_;
  dispatcher& queue_;
  stream_handler& streams_;
  std::unordered_map<generation_id, time_point> adopted_;
};

}  // namespace tarragon::decision

#endif  // TARRAGON_DECISION_CALLER_HANDLER_H_
