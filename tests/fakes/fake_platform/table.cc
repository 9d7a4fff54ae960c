#include "fakes/fake_platform/table.h"

#include <utility>

namespace tarragon::fakes {

namespace {

bool IsListOrAbsent(const nlohmann::json& body, const char* key) {
  return !body.contains(key) || body[key].is_array();
}

bool HasKey(const nlohmann::json& item) {
  return item.is_object() && item.contains("key") && item["key"].is_string() &&
         !item["key"].get_ref<const std::string&>().empty();
}

}  // namespace

std::optional<table_transaction> ParseTransaction(const nlohmann::json& body) {
  if (!body.is_object() || !IsListOrAbsent(body, "conditions") || !IsListOrAbsent(body, "writes")) {
    return std::nullopt;
  }
  table_transaction parsed;
  for (const nlohmann::json& item : body.value("conditions", nlohmann::json::array())) {
    if (!HasKey(item) || !item.contains("version") || !item["version"].is_number_unsigned()) {
      return std::nullopt;
    }
    parsed.conditions.push_back({item["key"], item["version"]});
  }
  for (const nlohmann::json& item : body.value("writes", nlohmann::json::array())) {
    if (!HasKey(item) || !item.contains("value")) {
      return std::nullopt;
    }
    parsed.writes.push_back({item["key"].get<std::string>(), item["value"]});
  }
  return parsed;
}

std::optional<table_row> table::Read(const std::string& key) const {
  std::lock_guard lock(mutex_);
  const auto found = rows_.find(key);
  return found == rows_.end() ? std::nullopt : std::optional(found->second);
}

std::vector<table_row> table::Scan(const std::string& prefix) const {
  std::lock_guard lock(mutex_);
  std::vector<table_row> rows;
  for (auto it = rows_.lower_bound(prefix); it != rows_.end() && it->first.starts_with(prefix);
       ++it) {
    rows.push_back(it->second);
  }
  return rows;
}

commit_result table::Commit(const table_transaction& transaction) {
  std::lock_guard lock(mutex_);
  commit_result result;
  for (const table_condition& condition : transaction.conditions) {
    const std::uint64_t current = CurrentVersion(condition.key);
    if (current != condition.version) {
      result.conflicts.push_back({condition.key, current});
    }
  }
  if (!result.conflicts.empty()) {
    return result;
  }
  for (const table_write& write : transaction.writes) {
    if (write.value.is_null()) {
      rows_.erase(write.key);
      result.versions.push_back(0);
      continue;
    }
    rows_[write.key] = {write.key, write.value, ++last_version_};
    result.versions.push_back(last_version_);
  }
  return result;
}

std::uint64_t table::CurrentVersion(const std::string& key) const {
  const auto found = rows_.find(key);
  return found == rows_.end() ? 0 : found->second.version;
}

}  // namespace tarragon::fakes
