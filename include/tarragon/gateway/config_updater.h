#ifndef TARRAGON_GATEWAY_CONFIG_UPDATER_H_
#define TARRAGON_GATEWAY_CONFIG_UPDATER_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "tarragon/gateway/dependency_log.h"
#include "tarragon/gateway/gateway_state.h"
#include "tarragon/gateway/table_listener.h"

namespace tarragon::gateway {

/**
 * Applies the operator's rows: the configuration, which is never replaced with an older version,
 * and the orders to evacuate failure domains.
 */
class config_updater final : public table_listener {
 public:
  explicit config_updater(gateway_state& gateway) : gateway_(gateway) {}

  void OnTable(const std::vector<table_row>& rows, const table_position& position) override;
  void OnChanges(const std::vector<table_row>& rows, const table_position& position) override;
  void OnStoreLost(std::string_view reason) override;
  void OnStaleRead(const routing::store_version& known,
                   const routing::store_version& read) override;
  void OnStoreRegained(const store_outage& outage) override;

 private:
  /** Notices that the store has returned from a copy. */
  void NoteEra(const table_position& position);
  void ApplyRow(const table_row& row, const table_position& position);
  void ApplyConfig(const table_row& row, const table_position& position);
  /** @return age of the store's confirmation in milliseconds. */
  std::int64_t AgeMs(const table_position& position) const;
  void ApplyEvacuation(const std::string& failure_domain,
                       const table_row& row,
                       const table_position& position);
  void EndUnlistedEvacuations(const std::vector<table_row>& rows, const table_position& position);
  void LogEvacuation(std::string_view event,
                     const std::string& failure_domain,
                     const routing::store_version& row_version,
                     const table_position& position);

  gateway_state& gateway_;
  dependency_log dependency_{gateway_.log, gateway_.time, "config_table"};
  /** Empty until the table is known. */
  std::optional<std::uint64_t> era_;
};

}  // namespace tarragon::gateway

#endif  // TARRAGON_GATEWAY_CONFIG_UPDATER_H_
