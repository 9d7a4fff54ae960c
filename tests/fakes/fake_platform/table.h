#ifndef TARRAGON_FAKES_FAKE_PLATFORM_TABLE_H_
#define TARRAGON_FAKES_FAKE_PLATFORM_TABLE_H_

#include <cstdint>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

namespace tarragon::fakes {

struct table_row {
  std::string key;
  /** Any JSON but null. */
  nlohmann::json value;
  /** Increases with each write to the table, so that a version is never reused for a key. */
  std::uint64_t version = 0;
};

struct table_condition {
  std::string key;
  /** 0 means that the row must be absent. */
  std::uint64_t version = 0;
};

struct table_write {
  std::string key;
  /** Null deletes the row. */
  nlohmann::json value;
};

struct table_transaction {
  std::vector<table_condition> conditions;
  std::vector<table_write> writes;
};

struct commit_result {
  /** Failed conditions, with the current versions; if there are any, nothing was written. */
  std::vector<table_condition> conflicts;
  /** Version after each write in order; 0 for a deleted row. */
  std::vector<std::uint64_t> versions;
};

/** @return the transaction that a request body describes, or empty if it is malformed. */
std::optional<table_transaction> ParseTransaction(const nlohmann::json& body);

/** Versioned rows; a transaction takes effect completely or not at all. Thread-safe. */
class table final {
 public:
  std::optional<table_row> Read(const std::string& key) const;
  /** @return rows whose key starts with `prefix`, in order of the key. */
  std::vector<table_row> Scan(const std::string& prefix) const;
  commit_result Commit(const table_transaction& transaction);

 private:
  std::uint64_t CurrentVersion(const std::string& key) const;

  mutable std::mutex mutex_;
  std::map<std::string, table_row> rows_;
  std::uint64_t last_version_ = 0;
};

}  // namespace tarragon::fakes

#endif  // TARRAGON_FAKES_FAKE_PLATFORM_TABLE_H_
