#ifndef TARRAGON_STORE_UNAVAILABLE_PLATFORM_STORE_H_
#define TARRAGON_STORE_UNAVAILABLE_PLATFORM_STORE_H_

#include <string>
#include <vector>

#include "tarragon/store/platform_store.h"

namespace tarragon::store {

/** Store of a process that has no platform: every call fails and has no effect. */
class unavailable_platform_store final : public platform_store {
 public:
  store_result<row> Read(const std::string& /*key*/) override { return kError; }
  store_result<std::vector<row>> Scan(const std::string& /*prefix*/) override { return kError; }
  store_result<std::vector<std::uint64_t>> Commit(const transaction& /*writes*/) override {
    return kError;
  }
  store_result<std::string> GetObject(const std::string& /*key*/) override { return kError; }
  store_result<std::string> PutObject(const std::string& /*key*/,
                                      const std::string& /*data*/) override {
    return kError;
  }
  store_result<std::vector<listed_vm>> ListVms() override { return kError; }

 private:
  static constexpr store_error kError = store_error::kUnavailable;
};

}  // namespace tarragon::store

#endif  // TARRAGON_STORE_UNAVAILABLE_PLATFORM_STORE_H_
