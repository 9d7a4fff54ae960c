#include "fakes/fake_platform/object_store.h"

#include <utility>

namespace tarragon::fakes {

void object_store::Put(const std::string& key, std::string data) {
  std::lock_guard lock(mutex_);
  objects_.insert_or_assign(key, std::move(data));
}

std::optional<std::string> object_store::Get(const std::string& key) const {
  std::lock_guard lock(mutex_);
  const auto found = objects_.find(key);
  return found == objects_.end() ? std::nullopt : std::optional(found->second);
}

}  // namespace tarragon::fakes
