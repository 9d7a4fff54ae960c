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

/** Collects the errors of one settings file as `file:line: key: expected ...`. */
class error_list final {
 public:
  explicit error_list(std::string file) : file_(std::move(file)) {}

  void Add(int line, std::string_view key, std::string_view expected);
  const std::vector<std::string>& messages() const { return messages_; }

 private:
  std::string file_;
  std::vector<std::string> messages_;
};

enum class key_presence : std::uint8_t { kRequired, kOptional };

/** Reads one table key by key. A value remains unchanged if its key is absent or invalid. */
class settings_table final {
 public:
  /** @param table null if the table is absent. @param path prefix of keys in messages, such as
   * `listen`. */
  settings_table(const toml::table* table, std::string path, error_list& errors);

  int line() const;
  bool Has(std::string_view key) const;
  int LineOf(std::string_view key) const;
  std::string PathOf(std::string_view key) const;

  void String(std::string_view key, key_presence presence, std::string& value);
  /** Reads a string of the form `ip:port`. */
  void Address(std::string_view key, key_presence presence, std::string& value);
  void AddressList(std::string_view key, std::vector<std::string>& value);
  void StringList(std::string_view key, std::vector<std::string>& value);
  void Bool(std::string_view key, bool& value);
  void Integer(std::string_view key, std::int64_t min, std::int64_t max, std::int64_t& value);
  /** Reads an integer or a floating-point number. */
  void Number(std::string_view key, key_presence presence, double min, double max, double& value);
  void Milliseconds(std::string_view key,
                    std::int64_t min,
                    std::int64_t max,
                    std::chrono::milliseconds& value);
  /** Reads one of `names`; `index` receives its position. */
  void Choice(std::string_view key, const std::vector<std::string_view>& names, std::size_t& index);
  /** @return the tables in the list `key`; reports a value of another type. */
  std::vector<const toml::table*> Tables(std::string_view key);
  /** @return the table `key`; reports a value of another type. */
  const toml::table* Table(std::string_view key);

  void ReportError(std::string_view key, std::string_view expected);
  /** Reports every key that no earlier call read. Must be called last. */
  void ReportUnknownKeys();

 private:
  const toml::node* Find(std::string_view key, key_presence presence, std::string_view expected);

  const toml::table* table_;
  std::string path_;
  error_list& errors_;
  std::set<std::string, std::less<>> known_keys_;
};

}  // namespace tarragon::settings

#endif  // TARRAGON_SRC_SETTINGS_SETTINGS_TABLE_H_
