#ifndef TARRAGON_GATEWAY_CONFIG_UPDATER_H_
#define TARRAGON_GATEWAY_CONFIG_UPDATER_H_

#include <string_view>
#include <vector>

#include "tarragon/gateway/gateway_state.h"
#include "tarragon/gateway/table_listener.h"

namespace tarragon::gateway {

/** Applies configurations from the store. Never replaces a configuration with an older version. */
class config_updater final : public table_listener {
 public:
  explicit config_updater(gateway_state& gateway) : gateway_(gateway) {}

  void OnTable(const std::vector<table_row>& rows, const table_position& position) override;
  void OnChanges(const std::vector<table_row>& rows, const table_position& position) override;
  void OnStoreLost(std::string_view reason) override;
  void OnStoreRegained() override;

 private:
  void ApplyRow(const table_row& row);

  gateway_state& gateway_;
};

}  // namespace tarragon::gateway

#endif  // TARRAGON_GATEWAY_CONFIG_UPDATER_H_
