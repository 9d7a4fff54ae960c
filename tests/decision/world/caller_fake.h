#ifndef TARRAGON_DECISION_WORLD_CALLER_FAKE_H_
#define TARRAGON_DECISION_WORLD_CALLER_FAKE_H_

#include <cstdint>
#include <string>

#include "decision/world/run_truth.h"
#include "decision/world/world_script.h"
#include "tarragon/decision/action.h"

namespace tarragon::decision {

/** One connection of a caller to an entry: checks what it receives against the truth. */
class caller_fake final {
 public:
  /** @param number the caller, the same for all of its connections. */
  caller_fake(const planned_request& plan, std::uint64_t number, std::string key, run_truth& truth)
      : plan_(&plan), number_(number), key_(std::move(key)), truth_(&truth) {}

  /** A connection of the same caller that goes on where this one stopped. */
  caller_fake Return() const;

  void On(const start_stream& what);
  void On(const restart_stream& what);
  void On(const deliver_token& what);
  void On(const deliver_response& what);
  void On(const finish_request& what);

  /** The connection is lost; nothing arrives any more. */
  void Disconnect() { connected_ = false; }

  /** Text of one token as the endpoints make it, so that a foreign token is recognised. */
  static std::string Text(const generation_id& generation, std::uint32_t index);

  const planned_request& plan() const { return *plan_; }
  std::uint64_t number() const { return number_; }
  const std::string& key() const { return key_; }
  bool connected() const { return connected_; }
  bool finished() const { return finished_; }
  bool has_ticket() const { return !generation_.empty(); }
  const endpoint_name& endpoint() const { return endpoint_; }
  const generation_id& generation() const { return generation_; }
  std::uint32_t next_index() const { return next_index_; }

 private:
  void CheckCompleted(const finish_request& what);

  const planned_request* plan_;
  std::uint64_t number_;
  std::string key_;
  run_truth* truth_;
  endpoint_name endpoint_;
  generation_id generation_;
  std::uint32_t next_index_ = 0;
  bool connected_ = true;
  bool finished_ = false;
  bool responded_ = false;
};

}  // namespace tarragon::decision

#endif  // TARRAGON_DECISION_WORLD_CALLER_FAKE_H_
