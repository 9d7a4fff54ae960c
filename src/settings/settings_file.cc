#include "settings/settings_file.h"

#include <fmt/format.h>

#include <fstream>
#include <iterator>

namespace tarragon::settings {

std::optional<std::string> ReadSettingsFile(const std::string& file,
                                            std::vector<std::string>* errors) {
  std::ifstream stream(file, std::ios::binary);
  std::string text{std::istreambuf_iterator<char>(stream), {}};
  if (stream.good() || stream.eof()) {
    return text;
  }
  if (errors != nullptr) {
    *errors = {fmt::format("{}:0: (file): expected a readable file", file)};
  }
  return std::nullopt;
}

bool ParseSettings(std::string_view text,
                   const std::string& file,
                   std::vector<std::string>* errors,
                   const std::function<void(const toml::table&, error_list&)>& read) {
  error_list reported(file);
  const toml::parse_result parsed = toml::parse(text);
  if (parsed) {
    read(parsed.table(), reported);
  } else {
    reported.Add(static_cast<int>(parsed.error().source().begin.line), "(file)",
                 fmt::format("expected TOML: {}", parsed.error().description()));
  }
  if (errors != nullptr) {
    *errors = reported.messages();
  }
  return reported.messages().empty();
}

}  // namespace tarragon::settings
