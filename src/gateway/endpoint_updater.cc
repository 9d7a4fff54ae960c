#include "tarragon/gateway/endpoint_updater.h"

#include <string>

namespace tarragon::gateway {

bool endpoint_updater::ApplyRow(const table_row& row) {
  const time_point now = gateway_.time.Now();
  const routing::endpoint_ptr known = gateway_.endpoints.Find(row.key);
  if (row.deleted) {
    gateway_.log.LogState("endpoint_removed",
                          {{"endpoint", row.key}, {"row_version", row.version}});
    gateway_.endpoints.Remove(now, row.version, row.key);
    return false;
  }
  decode_result<routing::endpoint_entry> entry =
      gateway_.adapter.DecodeEndpoint(row.key, row.value);
  if (!entry) {
    gateway_.log.LogState("endpoint_unreadable",
                          {{"endpoint", row.key}, {"error", entry.error().message}});
    gateway_.endpoints.Remove(now, row.version, row.key);
    return false;
  }
  const routing::endpoint_entry& listed = entry.value();
  if (!known || known->entry.leaving != listed.leaving ||
      known->entry.started_unix_ms != listed.started_unix_ms) {
    gateway_.log.LogState("endpoint_listed", {{"endpoint", row.key},
                                              {"service", listed.service},
                                              {"address", listed.address},
                                              {"software", listed.software_version},
                                              {"leaving", listed.leaving},
                                              {"row_version", row.version}});
  }
  gateway_.endpoints.Put(now, row.version, std::move(entry).value());
  return true;
}

void endpoint_updater::OnTable(const std::vector<table_row>& rows, const table_position& position) {
  std::vector<std::string> present;
  for (const table_row& row : rows) {
    gateway_.RunGuarded("endpoint_row", [&] {
      if (ApplyRow(row)) {
        present.push_back(row.key);
      }
    });
  }
  gateway_.endpoints.RemoveUnlisted(gateway_.time.Now(), position.version, present);
  gateway_.UpdateOrigins();
  loaded_ = true;
}

void endpoint_updater::OnChanges(const std::vector<table_row>& rows, const table_position&) {
  for (const table_row& row : rows) {
    gateway_.RunGuarded("endpoint_row", [&] { ApplyRow(row); });
  }
  gateway_.UpdateOrigins();
}

void endpoint_updater::OnStoreLost(std::string_view reason) {
  gateway_.endpoints.OnStoreUnavailable(gateway_.time.Now());
  dependency_.LogLost(reason);
}

void endpoint_updater::OnStaleRead(const routing::store_version& known,
                                   const routing::store_version& read) {
  dependency_.LogStaleRead(known, read);
}

void endpoint_updater::OnStoreRegained(const store_outage& outage) {
  gateway_.endpoints.OnStoreRecovered(gateway_.time.Now(), outage.max_time_back);
  dependency_.LogRegained(outage);
}

}  // namespace tarragon::gateway
