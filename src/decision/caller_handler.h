#ifndef TARRAGON_DECISION_CALLER_HANDLER_H_
#define TARRAGON_DECISION_CALLER_HANDLER_H_

#include <string>
#include <unordered_map>
#include <vector>

#include "decision/dispatcher.h"
#include "decision/engine_core.h"
#include "decision/stream_handler.h"

namespace tarragon::decision {

/** Handles what callers do: arrive, leave and come back. */
class caller_handler final {
 public:
  caller_handler(engine_core& core, dispatcher& queue, stream_handler& streams)
      : core_(core), queue_(queue), streams_(streams) {}

  void On(const request_arrived& event);
  void On(const caller_gone& event);
  void On(const resume_arrived& event);
  void On(const claim_answered& event);

  /** Ends requests whose callers did not come back. */
  void Tick(request_record& record);
  void Tick();

  /** Lets go of generations whose callers came back to another entry. */
  void OnAdopted(const std::vector<std::uint64_t>& generations);

  /** @return hashes of generations that callers came back for at this entry. */
  std::vector<std::uint64_t> Adopted(time_point now) const;

 private:
  bool ApplyRule(request_record& record);
  bool RefuseByPolicy(request_record& record);
  void AskForClaim(request_record& record);
  void ReplayRecorded(request_record& record, const claim_answered& event);
  void TakeOver(const resume_arrived& event);

  engine_core& core_;
  dispatcher& queue_;
  stream_handler& streams_;
  std::unordered_map<generation_id, time_point> adopted_;
};

}  // namespace tarragon::decision

#endif  // TARRAGON_DECISION_CALLER_HANDLER_H_
