#ifndef TARRAGON_DECISION_WORLD_RUN_ORACLE_H_
#define TARRAGON_DECISION_WORLD_RUN_ORACLE_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "tarragon/base/ids.h"
#include "tarragon/base/run_verdict.h"

namespace tarragon::decision {

/**
 * Test oracle: records what the endpoints ran and the guarantees that were violated. It is
 * independent of the request engine.
 */
class run_oracle final {
 public:
  /** An endpoint accepted the generation, whose complete output has `total` tokens. */
  void RecordGeneration(std::uint64_t caller, const generation_id& generation, std::uint32_t total);

  /** An endpoint ran the call. @param key empty if the call may be repeated. */
  void RecordCall(std::uint64_t caller, const std::string& key, bool repeatable);

  /** The caller received this verdict. */
  void RecordVerdict(std::uint64_t caller, const std::string& key, run_verdict verdict);

  /** An entry released the claim on the key because it concluded that no attempt ran. */
  void RecordClaimRelease(const std::string& key, const std::string& claim_token);
  void RecordClaimRun(const std::string& claim_token) { claims_that_ran_.insert(claim_token); }

  /** @return whether the generation belongs to the caller and has exactly `tokens` tokens. */
  bool IsComplete(std::uint64_t caller,
                  const generation_id& generation,
                  std::uint32_t tokens) const;

  void AddViolation(std::string violation) { violations_.push_back(std::move(violation)); }
  const std::vector<std::string>& violations() const { return violations_; }

 private:
  struct generation_record {
    std::uint64_t caller = 0;
    std::uint32_t total = 0;
  };

  std::map<generation_id, generation_record> generations_;
  std::map<std::uint64_t, int> runs_by_caller_;
  std::map<std::string, int> runs_by_key_;
  std::set<std::uint64_t> reported_not_run_;
  std::set<std::string> claims_that_ran_;
  std::vector<std::string> violations_;
};

}  // namespace tarragon::decision

#endif  // TARRAGON_DECISION_WORLD_RUN_ORACLE_H_
