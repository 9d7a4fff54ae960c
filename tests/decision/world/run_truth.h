#ifndef TARRAGON_DECISION_WORLD_RUN_TRUTH_H_
#define TARRAGON_DECISION_WORLD_RUN_TRUTH_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "tarragon/base/ids.h"
#include "tarragon/base/run_verdict.h"

namespace tarragon::decision {

/** What endpoints really ran, and the promises that were broken. Knows nothing of the engine. */
class run_truth final {
 public:
  /** An endpoint took the generation; its answer has `total` tokens. */
  void Generated(std::uint64_t caller, const generation_id& generation, std::uint32_t total);

  /** An endpoint ran the call. @param key empty if the call may be repeated. */
  void Called(std::uint64_t caller, const std::string& key, bool repeatable);

  /** The caller was told this verdict. */
  void Told(std::uint64_t caller, const std::string& key, run_verdict verdict);

  /** The claim of the key was released because no attempt ran. */
  void Released(const std::string& key, const std::string& claim_token);
  void Ran(const std::string& claim_token) { claims_that_ran_.insert(claim_token); }

  /** @return whether the generation belongs to the caller and has exactly `tokens` tokens. */
  bool IsWhole(std::uint64_t caller, const generation_id& generation, std::uint32_t tokens) const;

  void Violate(std::string what) { violations_.push_back(std::move(what)); }
  const std::vector<std::string>& violations() const { return violations_; }

 private:
  struct generation_truth {
    std::uint64_t caller = 0;
    std::uint32_t total = 0;
  };

  std::map<generation_id, generation_truth> generations_;
  std::map<std::uint64_t, int> runs_;
  std::map<std::string, int> runs_of_key_;
  std::set<std::uint64_t> told_not_run_;
  std::set<std::string> claims_that_ran_;
  std::vector<std::string> violations_;
};

}  // namespace tarragon::decision

#endif  // TARRAGON_DECISION_WORLD_RUN_TRUTH_H_
