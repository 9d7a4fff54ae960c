#ifndef TARRAGON_FAKES_FAKE_ENDPOINT_EXECUTION_LOG_H_
#define TARRAGON_FAKES_FAKE_ENDPOINT_EXECUTION_LOG_H_

#include <cstdint>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>

namespace tarragon::fakes {

/** Identifies a call; without an idempotency key, only method and path distinguish calls. */
struct execution_key {
  std::string idempotency_key;
  std::string method;
  std::string path;

  auto operator<=>(const execution_key&) const = default;
};

/** Counts how often each call was executed. Thread-safe. */
class execution_log final {
 public:
  /** Adds an execution. @return number of executions of the call so far, including this one. */
  std::uint64_t Add(const execution_key& key);

  /** @return `[{idempotency_key, method, path, count}]` in order of the key. */
  nlohmann::json List() const;

 private:
  mutable std::mutex mutex_;
  std::map<execution_key, std::uint64_t> counts_;
};

}  // namespace tarragon::fakes

#endif  // TARRAGON_FAKES_FAKE_ENDPOINT_EXECUTION_LOG_H_
