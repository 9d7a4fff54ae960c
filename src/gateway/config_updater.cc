#include "tarragon/gateway/config_updater.h"

#include <algorithm>
#include <utility>

namespace tarragon::gateway {

void config_updater::OnTable(const std::vector<table_row>& rows, const table_position& position) {
  OnChanges(rows, position);
}

void config_updater::OnChanges(const std::vector<table_row>& rows, const table_position&) {
  std::ranges::for_each(rows, [this](const table_row& row) {
    gateway_.RunGuarded("config_row", [&] { ApplyRow(row); });
  });
}

void config_updater::ApplyRow(const table_row& row) {
  if (row.key != gateway_.adapter.ConfigKey() || row.deleted) {
    return;
  }
  decode_result<routing::service_config_ptr> decoded = gateway_.adapter.DecodeConfig(row.value);
  if (!decoded) {
    gateway_.log.LogState("config_unreadable",
                          {{"row_version", row.version}, {"error", decoded.error().message}});
    return;
  }
  routing::service_config_ptr config = std::move(decoded).value();
  const std::uint64_t in_force = gateway_.config ? gateway_.config->version() : 0;
  if (gateway_.config && config->version() <= in_force) {
    return;
  }
  gateway_.log.LogState("config_in_force", {{"version", config->version()},
                                            {"before", in_force},
                                            {"row_version", row.version},
                                            {"routes", config->routes().size()}});
  gateway_.config = std::move(config);
}

void config_updater::OnStoreLost(std::string_view reason) {
  gateway_.log.LogState("dependency_lost", {{"dependency", "config_table"}, {"reason", reason}});
}

void config_updater::OnStoreRegained() {
  gateway_.log.LogState("dependency_regained", {{"dependency", "config_table"}});
}

}  // namespace tarragon::gateway
