#include "table_reader.h"

#include <fmt/format.h>
#include <fmt/ranges.h>

#include <algorithm>
#include <sstream>
#include <utility>

namespace tarragon::document {

namespace {

std::string TypeName(const toml::node& node) {
  std::ostringstream text;
  text << node.type();
  return text.str();
}

}  // namespace

int LineOf(const toml::node& node) {
  return static_cast<int>(node.source().begin.line);
}

table_reader::table_reader(const toml::table& table,
                           std::string_view section,
                           std::vector<document_error>& errors)
    : table_(table), section_(section), errors_(errors), line_(LineOf(table)) {}

void table_reader::ReadString(std::string_view key, presence expected, std::string& value) {
  const toml::node* node = Find(key, expected);
  if (node == nullptr) {
    return;
  }
  const auto* text = node->as_string();
  if (text == nullptr) {
    ReportError(LineOf(*node),
                fmt::format("'{}': expected a string, found {}", key, TypeName(*node)));
    return;
  }
  if (expected == presence::kRequired && text->get().empty()) {
    ReportError(LineOf(*node), fmt::format("'{}': expected a string that is not empty", key));
    return;
  }
  value = text->get();
}

void table_reader::ReadStringList(std::string_view key, std::vector<std::string>& value) {
  const toml::node* node = Find(key, presence::kOptional);
  if (node == nullptr) {
    return;
  }
  const toml::array* list = node->as_array();
  if (list == nullptr) {
    ReportError(LineOf(*node),
                fmt::format("'{}': expected a list of strings, found {}", key, TypeName(*node)));
    return;
  }
  std::vector<std::string> items;
  for (const toml::node& item : *list) {
    const auto* text = item.as_string();
    if (text == nullptr || text->get().empty()) {
      ReportError(LineOf(item), fmt::format("'{}': expected a list of non-empty strings", key));
      return;
    }
    items.push_back(text->get());
  }
  value = std::move(items);
}

void table_reader::ReadBool(std::string_view key, bool& value) {
  const toml::node* node = Find(key, presence::kOptional);
  if (node == nullptr) {
    return;
  }
  const auto* flag = node->as_boolean();
  if (flag == nullptr) {
    ReportError(LineOf(*node),
                fmt::format("'{}': expected true or false, found {}", key, TypeName(*node)));
    return;
  }
  value = flag->get();
}

void table_reader::ReadInteger(std::string_view key,
                               number_range<std::int64_t> range,
                               std::int64_t& value) {
  const toml::node* node = Find(key, presence::kOptional);
  if (node == nullptr) {
    return;
  }
  const auto* number = node->as_integer();
  if (number == nullptr) {
    ReportError(LineOf(*node),
                fmt::format("'{}': expected an integer, found {}", key, TypeName(*node)));
    return;
  }
  if (number->get() < range.lowest || number->get() > range.highest) {
    ReportError(LineOf(*node), fmt::format("'{}': {} is outside of [{}, {}]", key, number->get(),
                                           range.lowest, range.highest));
    return;
  }
  value = number->get();
}

void table_reader::ReadNumber(std::string_view key, number_range<double> range, double& value) {
  const toml::node* node = Find(key, presence::kOptional);
  if (node == nullptr) {
    return;
  }
  const std::optional<double> number = node->is_number() ? node->value<double>() : std::nullopt;
  if (!number) {
    ReportError(LineOf(*node),
                fmt::format("'{}': expected a number, found {}", key, TypeName(*node)));
    return;
  }
  // The negated condition also rejects NaN.
  if (!(*number >= range.lowest && *number <= range.highest)) {
    ReportError(LineOf(*node), fmt::format("'{}': {} is outside of [{}, {}]", key, *number,
                                           range.lowest, range.highest));
    return;
  }
  value = *number;
}

void table_reader::ReadChoice(std::string_view key,
                              presence expected,
                              const std::vector<std::string_view>& names,
                              std::size_t& index) {
  const std::size_t error_count = errors_.size();
  std::string text;
  ReadString(key, expected, text);
  if (errors_.size() != error_count || !table_.contains(key)) {
    return;
  }
  const auto found = std::ranges::find(names, text);
  if (found == names.end()) {
    ReportError(LineOf(*table_.get(key)), fmt::format("'{}': expected one of {}, found '{}'", key,
                                                      fmt::join(names, ", "), text));
    return;
  }
  index = static_cast<std::size_t>(found - names.begin());
}

void table_reader::ReportUnknownKeys() {
  for (const auto& [key, node] : table_) {
    if (!known_keys_.contains(key.str())) {
      ReportError(LineOf(node), fmt::format("unknown key '{}'; known keys are {}", key.str(),
                                            fmt::join(known_keys_, ", ")));
    }
  }
}

const toml::node* table_reader::Find(std::string_view key, presence expected) {
  known_keys_.emplace(key);
  const toml::node* node = table_.get(key);
  if (node == nullptr && expected == presence::kRequired) {
    ReportError(line_, fmt::format("key '{}' is missing", key));
  }
  return node;
}

void table_reader::ReportError(int line, std::string message) {
  errors_.push_back({std::string(section_), line, std::move(message)});
}

}  // namespace tarragon::document
