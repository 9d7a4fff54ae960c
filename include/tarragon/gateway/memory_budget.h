#ifndef TARRAGON_GATEWAY_MEMORY_BUDGET_H_
#define TARRAGON_GATEWAY_MEMORY_BUDGET_H_

#include <cstddef>
#include <cstdint>
#include <unordered_map>
#include <vector>

#include "tarragon/base/clock.h"

namespace tarragon::gateway {

/** What one caller connection holds, in bytes. */
struct held_memory {
  /** Of requests that are not complete yet; they can be refused. */
  std::size_t reading = 0;
  /** Of the request in service; it is never dropped. */
  std::size_t serving = 0;
  /** Of responses that the caller has not read yet. */
  std::size_t unread = 0;

  std::size_t total() const { return reading + serving + unread; }
};

enum class memory_state : std::uint8_t {
  kCalm,
  /** Connections that hold more than an assured amount are not read. */
  kScarce,
};

struct memory_budget_options {
  /** Bytes that all connections may hold; 0 for no limit. */
  std::size_t bytes = 0;
  /** Connections that may be open; 0 for no limit. */
  std::size_t connections = 0;
};

/**
 * @param memory_bytes memory of the VM; 0 for no limit.
 * @param descriptors file descriptors that the VM allows; 0 for no limit.
 * @return the shares that callers may hold; the rest is for endpoints, peers, the store and the
 *     program.
 */
memory_budget_options MakeBudgetOptions(std::size_t memory_bytes, std::size_t descriptors);

/**
 * Budget over all caller connections of a process, against callers that together send, or leave
 * unread, more than the VM's memory. Decides which connections are not read and which are closed;
 * has no sockets or clock.
 */
class memory_budget final {
 public:
  using connection_id = std::uint64_t;

  /** Bytes that a connection may hold while memory is scarce and still be read. */
  static constexpr std::size_t kAssuredBytes = std::size_t{64} << 10;
  /** Memory of an open connection that holds nothing else. */
  static constexpr std::size_t kConnectionBytes = std::size_t{8} << 10;

  void SetOptions(const memory_budget_options& options) { options_ = options; }

  connection_id Open(time_point now);
  void Close(connection_id id);
  void Update(connection_id id, const held_memory& held, time_point now);

  /** @return whether a connection may read more bytes. */
  bool MayRead(connection_id id) const;
  memory_state state() const { return state_; }
  std::size_t held_bytes() const { return held_bytes_; }
  std::size_t connections() const { return accounts_.size(); }
  bool IsExceeded() const;

  /**
   * @return the connections that give way, until there is room again: those that hold most and have
   *     moved least come first. Connections with a request in service are not among them, unless
   *     their caller does not read.
   */
  std::vector<connection_id> ChooseToClose(time_point now) const;

 private:
  struct account {
    held_memory held;
    /** Since when the connection has held something, or has been idle. */
    time_point since;
  };

  bool HasTooManyBytes() const { return options_.bytes > 0 && held_bytes_ > options_.bytes; }
  std::size_t LowBytes() const { return options_.bytes / 4 * 3; }
  void UpdateState();

  memory_budget_options options_;
  std::unordered_map<connection_id, account> accounts_;
  connection_id last_id_ = 0;
  std::size_t held_bytes_ = 0;
  memory_state state_ = memory_state::kCalm;
};

}  // namespace tarragon::gateway

#endif  // TARRAGON_GATEWAY_MEMORY_BUDGET_H_
