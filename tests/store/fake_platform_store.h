#ifndef TARRAGON_TESTS_STORE_FAKE_PLATFORM_STORE_H_
#define TARRAGON_TESTS_STORE_FAKE_PLATFORM_STORE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

#include "tarragon/store/platform_store.h"

namespace tarragon::store {

/** Fault that the fake injects into one call. */
enum class store_fault : std::uint8_t {
  kNone,
  /** The call cannot be sent. */
  kOutage,
  /** The request is lost: it has no effect and gets no response. */
  kLostRequest,
  /** The call takes effect, but the response is lost. */
  kLostAnswer,
  /** The call gets no response and takes effect when `ApplyDelayedWrites` is called. */
  kDelayed,
};

enum class store_call : std::uint8_t { kRead, kScan, kCommit, kGetObject, kPutObject, kListVms };

/** In-memory platform. A script selects the fault of each call; a hook runs before each call. */
class fake_platform_store final : public platform_store {
 public:
  using fault_script = std::function<store_fault(store_call)>;
  using call_hook = std::function<void(store_call)>;

  void SetFaultScript(fault_script script) { script_ = std::move(script); }
  void SetCallHook(call_hook hook) { hook_ = std::move(hook); }
  void SetVms(std::vector<listed_vm> vms) { vms_ = std::move(vms); }

  /** Applies the delayed writes whose conditions still hold. */
  void ApplyDelayedWrites() {
    std::lock_guard lock(mutex_);
    for (const transaction& writes : std::exchange(delayed_writes_, {})) {
      static_cast<void>(ApplyWrites(writes));
    }
  }

  int call_count() const { return call_count_; }
  std::size_t row_count() const { return rows_.size(); }

  store_result<row> Read(const std::string& key) override {
    if (StartCall(store_call::kRead) != store_fault::kNone) {
      return store_error::kUnavailable;
    }
    std::lock_guard lock(mutex_);
    const auto found = rows_.find(key);
    if (found == rows_.end()) {
      return store_error::kNotFound;
    }
    return found->second;
  }

  store_result<std::vector<row>> Scan(const std::string& prefix) override {
    if (StartCall(store_call::kScan) != store_fault::kNone) {
      return store_error::kUnavailable;
    }
    std::lock_guard lock(mutex_);
    std::vector<row> found;
    for (auto entry = rows_.lower_bound(prefix);
         entry != rows_.end() && entry->first.starts_with(prefix); ++entry) {
      found.push_back(entry->second);
    }
    return found;
  }

  store_result<std::vector<std::uint64_t>> Commit(const transaction& writes) override {
    const store_fault fault = StartCall(store_call::kCommit);
    std::lock_guard lock(mutex_);
    switch (fault) {
      case store_fault::kNone:
        return ApplyWrites(writes);
      case store_fault::kOutage:
        return store_error::kUnavailable;
      case store_fault::kLostRequest:
        break;
      case store_fault::kLostAnswer:
        static_cast<void>(ApplyWrites(writes));
        break;
      case store_fault::kDelayed:
        delayed_writes_.push_back(writes);
        break;
    }
    return store_error::kUnknownOutcome;
  }

  store_result<std::string> GetObject(const std::string& key) override {
    if (StartCall(store_call::kGetObject) != store_fault::kNone) {
      return store_error::kUnavailable;
    }
    std::lock_guard lock(mutex_);
    const auto found = objects_.find(key);
    if (found == objects_.end()) {
      return store_error::kNotFound;
    }
    return found->second;
  }

  store_result<std::string> PutObject(const std::string& key, const std::string& data) override {
    const store_fault fault = StartCall(store_call::kPutObject);
    std::lock_guard lock(mutex_);
    if (fault == store_fault::kOutage) {
      return store_error::kUnavailable;
    }
    if (fault != store_fault::kLostRequest) {
      objects_[key] = data;
    }
    if (fault != store_fault::kNone) {
      return store_error::kUnknownOutcome;
    }
    return std::string();
  }

  store_result<std::vector<listed_vm>> ListVms() override {
    if (StartCall(store_call::kListVms) != store_fault::kNone) {
      return store_error::kUnavailable;
    }
    return vms_;
  }

 private:
  store_fault StartCall(store_call call) {
    ++call_count_;
    if (hook_) {
      // The hook may call the store to simulate a concurrent edit, so it is disabled while it runs.
      const call_hook hook = std::exchange(hook_, nullptr);
      hook(call);
      if (!hook_) {
        hook_ = hook;
      }
    }
    return script_ ? script_(call) : store_fault::kNone;
  }

  store_result<std::vector<std::uint64_t>> ApplyWrites(const transaction& writes) {
    for (const row_condition& condition : writes.conditions) {
      const auto found = rows_.find(condition.key);
      if ((found == rows_.end() ? 0 : found->second.version) != condition.version) {
        return store_error::kConflict;
      }
    }
    std::vector<std::uint64_t> versions;
    for (const row_write& write : writes.writes) {
      if (!write.value) {
        rows_.erase(write.key);
        versions.push_back(0);
        continue;
      }
      row& target = rows_[write.key];
      target = {.key = write.key, .value = *write.value, .version = ++last_version_};
      versions.push_back(target.version);
    }
    return versions;
  }

  std::mutex mutex_;
  std::map<std::string, row> rows_;
  std::map<std::string, std::string> objects_;
  std::vector<listed_vm> vms_;
  std::vector<transaction> delayed_writes_;
  std::uint64_t last_version_ = 0;
  int call_count_ = 0;
  fault_script script_;
  call_hook hook_;
};

}  // namespace tarragon::store

#endif  // TARRAGON_TESTS_STORE_FAKE_PLATFORM_STORE_H_
