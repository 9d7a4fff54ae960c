#ifndef TARRAGON_SRC_SETTINGS_SETTINGS_TABLE_H_
#define TARRAGON_SRC_SETTINGS_SETTINGS_TABLE_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

// Parse errors are returned instead of thrown, as everywhere in this project.
#ifndef TOML_EXCEPTIONS
#define TOML_EXCEPTIONS 0
#define TOML_ENABLE_FORMATTERS 0
#endif
#include <toml++/toml.h>

namespace tarragon::settings {

/** Collects faults of one settings file as `file:line: key: what was expected`. */
class fault_list final {
 public:
  explicit fault_list(std::string file) : file_(std::move(file)) {}

  void Add(int line, std::string_view key, std::string_view expected);
  const std::vector<std::string>& faults() const { return faults_; }

 private:
  std::string file_;
  std::vector<std::string> faults_;
};

enum class need : std::uint8_t { kRequired, kOptional };

/** Reads one table key by key. A value stays as it is if its key is absent or invalid. */
class settings_table final {
 public:
  /** @param table null if the table is absent. @param path name for messages, such as `listen`. */
  settings_table(const toml::table* table, std::string path, fault_list& faults);

  int line() const;
  bool Has(std::string_view key) const;
  int LineOf(std::string_view key) const;
  std::string PathOf(std::string_view key) const;

  void String(std::string_view key, need needed, std::string& value);
  /** A string of the form `ip:port`. */
  void Address(std::string_view key, need needed, std::string& value);
  void AddressList(std::string_view key, std::vector<std::string>& value);
  void StringList(std::string_view key, std::vector<std::string>& value);
  void Bool(std::string_view key, bool& value);
  void Integer(std::string_view key,
               std::int64_t lowest,
               std::int64_t highest,
               std::int64_t& value);
  /** An integer or a decimal number. */
  void Number(std::string_view key, need needed, double lowest, double highest, double& value);
  void Milliseconds(std::string_view key,
                    std::int64_t lowest,
                    std::int64_t highest,
                    std::chrono::milliseconds& value);
  /** One of `names`; `index` receives its position. */
  void Choice(std::string_view key, const std::vector<std::string_view>& names, std::size_t& index);
  /** @return the tables of the list under `key`; reports a value of another type. */
  std::vector<const toml::table*> Tables(std::string_view key);
  /** @return the table under `key`; reports a value of another type. */
  const toml::table* Table(std::string_view key);

  void Fault(std::string_view key, std::string_view expected);
  /** Reports every key that was not asked for. Called last. */
  void ReportUnknownKeys();

 private:
  const toml::node* Find(std::string_view key, need needed, std::string_view expected);

  const toml::table* table_;
  std::string path_;
  fault_list& faults_;
  std::set<std::string, std::less<>> known_;
};

}  // namespace tarragon::settings

#endif  // TARRAGON_SRC_SETTINGS_SETTINGS_TABLE_H_
