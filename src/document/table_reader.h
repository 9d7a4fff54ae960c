#ifndef TARRAGON_SRC_DOCUMENT_TABLE_READER_H_
#define TARRAGON_SRC_DOCUMENT_TABLE_READER_H_

#include <cstdint>
#include <limits>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "tarragon/document/operating_document.h"
#include "toml_library.h"

namespace tarragon::document {

/** Closed interval that a number must lie in. */
template <typename T>
struct number_range {
  T lowest = std::numeric_limits<T>::lowest();
  T highest = std::numeric_limits<T>::max();
};

/** Whether an entry has to have a key. */
enum class presence : std::uint8_t { kRequired, kOptional };

/** Reads one TOML table key by key and reports each fault with its line. */
class table_reader final {
 public:
  /** @param errors receives faults; must outlive the reader. */
  table_reader(const toml::table& table,
               std::string_view section,
               std::vector<document_error>& errors);

  int Line() const { return line_; }

  /** Each reader leaves `value` as it is if the key is absent or invalid. */
  void String(std::string_view key, presence needed, std::string& value);
  void StringList(std::string_view key, std::vector<std::string>& value);
  void Bool(std::string_view key, bool& value);
  void Integer(std::string_view key, number_range<std::int64_t> range, std::int64_t& value);
  void Number(std::string_view key, number_range<double> range, double& value);
  /** Reads one of `names`; `index` receives its position. */
  void Choice(std::string_view key,
              presence needed,
              const std::vector<std::string_view>& names,
              std::size_t& index);

  /** Reports every key that no reader asked for. Called last. */
  void ReportUnknownKeys();

 private:
  const toml::node* Find(std::string_view key, presence needed);
  void Report(int line, std::string message);

  const toml::table& table_;
  std::string_view section_;
  std::vector<document_error>& errors_;
  int line_;
  std::set<std::string, std::less<>> known_;
};

/** @return 1-based line of a node in its section. */
int LineOf(const toml::node& node);

}  // namespace tarragon::document

#endif  // TARRAGON_SRC_DOCUMENT_TABLE_READER_H_
