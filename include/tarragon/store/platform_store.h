#ifndef TARRAGON_STORE_PLATFORM_STORE_H_
#define TARRAGON_STORE_PLATFORM_STORE_H_

#include <boost/outcome/basic_result.hpp>
#include <boost/outcome/result.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace tarragon::store {

enum class store_error : std::uint8_t {
  /** The call had no effect: it was refused, could not be sent or only reads. */
  kUnavailable,
  /** The call was sent but got no response; it may have taken effect. */
  kUnknownOutcome,
  /** A condition of the transaction did not hold; nothing was written. */
  kConflict,
  kNotFound,
  /** The platform's rate limit rejected the call; nothing was written. */
  kRateLimited,
  /** The platform's response could not be parsed. */
  kBadAnswer,
};

std::string_view ToString(store_error error);

template <typename T>
using store_result = boost::outcome_v2::checked<T, store_error>;

/** One row of the transactional table. */
struct row {
  std::string key;
  std::string value;
  /** Increased by the platform on each write of the row; never 0. */
  std::uint64_t version = 0;
};

struct row_condition {
  std::string key;
  /** Version that the row must have; 0 requires the row to be absent. */
  std::uint64_t version = 0;
};

struct row_write {
  std::string key;
  /** Empty deletes the row. */
  std::optional<std::string> value;
};

/** Writes that are applied atomically if all conditions hold. */
struct transaction {
  std::vector<row_condition> conditions;
  std::vector<row_write> writes;
};

/** An entry of the platform's list of VMs and endpoints, which may be stale. */
struct listed_vm {
  std::string id;
  std::string address;
  std::string failure_domain;
  bool leaving = false;
};

/** The platform's table, object store and VM list. Calls block. Thread-safe. */
class platform_store {
 public:
  virtual ~platform_store() = default;

  virtual store_result<row> Read(const std::string& key) = 0;
  /** @return all rows whose key starts with `prefix`, ordered by key. */
  virtual store_result<std::vector<row>> Scan(const std::string& prefix) = 0;
  /** @return the new row version of each write, in order (0 for a deleted row). */
  virtual store_result<std::vector<std::uint64_t>> Commit(const transaction& writes) = 0;
  virtual store_result<std::string> GetObject(const std::string& key) = 0;
  virtual store_result<std::string> PutObject(const std::string& key, const std::string& data) = 0;
  virtual store_result<std::vector<listed_vm>> ListVms() = 0;
};

}  // namespace tarragon::store

#endif  // TARRAGON_STORE_PLATFORM_STORE_H_
