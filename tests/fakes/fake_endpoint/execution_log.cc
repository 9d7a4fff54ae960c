#include "fakes/fake_endpoint/execution_log.h"

namespace tarragon::fakes {

std::uint64_t execution_log::Add(const execution_key& key) {
  std::lock_guard lock(mutex_);
  return ++counts_[key];
}

nlohmann::json execution_log::List() const {
  nlohmann::json list = nlohmann::json::array();
  std::lock_guard lock(mutex_);
  for (const auto& [key, count] : counts_) {
    list.push_back({{"idempotency_key", key.idempotency_key},
                    {"method", key.method},
                    {"path", key.path},
                    {"count", count}});
  }
  return list;
}

}  // namespace tarragon::fakes
