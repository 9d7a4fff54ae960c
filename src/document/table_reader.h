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

/** Closed interval of allowed values. */
template <typename T>
struct number_range {
  T lowest = std::numeric_limits<T>::lowest();
  T highest = std::numeric_limits<T>::max();
};

/** Whether a key must be present. */
enum class presence : std::uint8_t { kRequired, kOptional };

/** Reads the keys of one TOML table and reports each error with its line. */
class table_reader final {
 public:
  /** @param errors receives the errors found; must outlive the reader. */
  table_reader(const toml::table& table,
               std::string_view section,
               std::vector<document_error>& errors);

  int Line() const { return line_; }

  /** The Read functions leave the output unchanged if the key is absent or invalid. */
  void ReadString(std::string_view key, presence expected, std::string& value);
  void ReadStringList(std::string_view key, std::vector<std::string>& value);
  void ReadBool(std::string_view key, bool& value);
  void ReadInteger(std::string_view key, number_range<std::int64_t> range, std::int64_t& value);
  void ReadNumber(std::string_view key, number_range<double> range, double& value);
  /** Reads one of `names` and stores its position in `index`. */
  void ReadChoice(std::string_view key,
                  presence expected,
                  const std::vector<std::string_view>& names,
                  std::size_t& index);

  /** Reports every key that no Read function asked for. Must be called last. */
  void ReportUnknownKeys();

 private:
  const toml::node* Find(std::string_view key, presence expected);
  void ReportError(int line, std::string message);

  const toml::table& table_;
  std::string_view section_;
  std::vector<document_error>& errors_;
  int line_;
  std::set<std::string, std::less<>> known_keys_;
};

/** @return the 1-based line of a node in its section. */
int LineOf(const toml::node& node);

}  // namespace tarragon::document

#endif  // TARRAGON_SRC_DOCUMENT_TABLE_READER_H_
