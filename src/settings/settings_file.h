#ifndef TARRAGON_SRC_SETTINGS_SETTINGS_FILE_H_
#define TARRAGON_SRC_SETTINGS_SETTINGS_FILE_H_

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "settings/settings_table.h"

namespace tarragon::settings {

/** @return contents of a file, or empty with a message in `errors` (may be null). */
std::optional<std::string> ReadSettingsFile(const std::string& file,
                                            std::vector<std::string>* errors);

/**
 * Parses TOML and hands the root table to `read`, which reports its faults.
 * @param errors receives all faults; may be null.
 * @return whether there was no fault.
 */
bool ParseSettings(std::string_view text,
                   const std::string& file,
                   std::vector<std::string>* errors,
                   const std::function<void(const toml::table&, fault_list&)>& read);

}  // namespace tarragon::settings

#endif  // TARRAGON_SRC_SETTINGS_SETTINGS_FILE_H_
