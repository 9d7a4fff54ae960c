#ifndef TARRAGON_SRC_SETTINGS_SETTINGS_FILE_H_
#define TARRAGON_SRC_SETTINGS_SETTINGS_FILE_H_

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "settings/settings_table.h"

namespace tarragon::settings {

/** @return contents of a file; empty, with a message in `errors` (may be null), on failure. */
std::optional<std::string> ReadSettingsFile(const std::string& file,
                                            std::vector<std::string>* errors);

/**
 * Parses TOML and passes the root table to `read`, which reports invalid settings.
 * @param errors receives all error messages; may be null.
 * @return whether there was no error.
 */
bool ParseSettings(std::string_view text,
                   const std::string& file,
                   std::vector<std::string>* errors,
                   const std::function<void(const toml::table&, error_list&)>& read);

}  // namespace tarragon::settings

#endif  // TARRAGON_SRC_SETTINGS_SETTINGS_FILE_H_
