#ifndef TARRAGON_GATEWAY_ENDPOINT_UPDATER_H_
#define TARRAGON_GATEWAY_ENDPOINT_UPDATER_H_

#include <cstdint>
#include <string_view>
#include <vector>

#include "tarragon/gateway/dependency_log.h"
#include "tarragon/gateway/gateway_state.h"
#include "tarragon/gateway/table_listener.h"

namespace tarragon::gateway {

/** Applies the platform's endpoint table to the endpoint registry. */
class endpoint_updater final : public table_listener {
 public:
  explicit endpoint_updater(gateway_state& gateway) : gateway_(gateway) {}

  void OnTable(const std::vector<table_row>& rows, const table_position& position) override;
  void OnChanges(const std::vector<table_row>& rows, const table_position& position) override;
  void OnStoreLost(std::string_view reason) override;
  void OnStaleRead(const routing::store_version& known,
                   const routing::store_version& read) override;
  void OnStoreRegained(const store_outage& outage) override;

  /** @return whether the table has been read at least once. */
  bool loaded() const { return loaded_; }

 private:
  /** @return whether the row describes an endpoint, rather than being deleted or unreadable. */
  bool ApplyRow(const table_row& row);

  gateway_state& gateway_;
  dependency_log dependency_{gateway_.log, gateway_.time, "endpoint_table"};
  bool loaded_ = false;
};

}  // namespace tarragon::gateway

#endif  // TARRAGON_GATEWAY_ENDPOINT_UPDATER_H_
