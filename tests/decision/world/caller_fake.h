#ifndef TARRAGON_DECISION_WORLD_CALLER_FAKE_H_
#define TARRAGON_DECISION_WORLD_CALLER_FAKE_H_

#include <cstdint>
#include <string>

#include "decision/world/run_oracle.h"
#include "decision/world/world_script.h"
#include "tarragon/decision/action.h"

namespace tarragon::decision {

/** One connection of a caller to an entry; checks the messages it receives against the oracle. */
class caller_fake final {
 public:
  /** @param number identifies the caller and is the same for all of its connections. */
  caller_fake(const planned_request& plan,
              std::uint64_t number,
              std::string key,
              run_oracle& oracle)
      : plan_(&plan), number_(number), key_(std::move(key)), oracle_(&oracle) {}

  /** @return a new connection of the same caller, which resumes at the next token. */
  caller_fake MakeReconnected() const;

  void OnAction(const start_stream& message);
  void OnAction(const restart_stream& message);
  void OnAction(const deliver_token& message);
  void OnAction(const deliver_response& message);
  void OnAction(const finish_request& message);

  /** The connection is lost; later messages are ignored. */
  void Disconnect() { connected_ = false; }

  /** @return text of a token, from which the caller recognises tokens of other generations. */
  static std::string TokenText(const generation_id& generation, std::uint32_t index);

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
  void CheckCompleted(const finish_request& message);

  const planned_request* plan_;
  std::uint64_t number_;
  std::string key_;
  run_oracle* oracle_;
  endpoint_name endpoint_;
  generation_id generation_;
  std::uint32_t next_index_ = 0;
  bool connected_ = true;
  bool finished_ = false;
  bool responded_ = false;
};

}  // namespace tarragon::decision

#endif  // TARRAGON_DECISION_WORLD_CALLER_FAKE_H_
